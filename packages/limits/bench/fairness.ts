/**
 * Measures how far one workspace at five times its rate changes the latency of the others:
 * `fairness QUEUE SECONDS SEED LOAD SLOTS`, where QUEUE is fair or arrival and LOAD is the share of
 * the slots that all workspaces use together at their rates.
 */

import process from "node:process";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as limits from "../src/mod.ts";
import * as simulation from "../test/queue_simulation.ts";

const SERVED_PER_SLOT_AND_SECOND = 50;
const WORKSPACES = 8;
const EXCESS = 5;

const [
  queueName = "fair",
  secondsText = "60",
  seedText = "1",
  loadText = "0.6",
  slotsText = "12",
] = process.argv.slice(2);
const slots = Number(slotsText);
const ratePerSecond = Number(loadText) * SERVED_PER_SLOT_AND_SECOND * slots / WORKSPACES;

for (const factor of [1, EXCESS]) {
  const clock = new kernelTesting.TestClock();
  const queue = queueName === "fair"
    ? new limits.WeightedFairQueue(new kernel.Metrics())
    : new limits.ArrivalOrderQueue();
  const simulated = new simulation.QueueSimulation(clock, queue, slots, Number(seedText));
  const senders: simulation.Sender[] = [];
  for (let index = 0; index < WORKSPACES; index++) {
    const isFirst = index === 0;
    senders.push({
      workspace: `workspace-${index}`,
      group: isFirst ? "first" : "others",
      ratePerSecond: ratePerSecond * (isFirst ? factor : 1),
      weight: 1,
    });
  }
  await simulated.run(senders, Number(secondsText) * 1_000);
  clock.restore();
  for (const [group, result] of simulated.results) {
    const p99 = result.latency.getQuantileMilliseconds(0.99);
    process.stdout.write(
      `first at ${factor} times its rate, ${group}: served ${result.served}, ` +
        `refused ${result.refused}, p99 ${p99.toFixed(1)} ms\n`,
    );
  }
}
process.exit(0);
