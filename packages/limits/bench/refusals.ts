/**
 * Compares limiters by refusals within the rate, overshoot, waits and traffic: `refusals SCENARIO
 * LIMITER VMS LOAD SECONDS SEED [RESERVED_SHARE] [WORKSPACES_PER_RATE] [RATES] [MINIMUM_BURST]`.
 *
 * SCENARIO is even, skewed, moving, lost, replaced, stopped or partition; LIMITER is escrow, static
 * or gossip; LOAD is the rate of arrivals as a share of the declared rate. Each arrival also goes
 * to one independent reference bucket; refusals within the rate are the refusals of the fleet minus
 * those of that bucket.
 */

import process from "node:process";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import type * as model from "@hemlockwalk/model";
import * as mersenne from "pure-rand/generator/mersenne";
import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as limits from "../src/mod.ts";
import * as harness from "../test/fleet_harness.ts";
import * as gossip from "./gossip_limiter.ts";

const BURST_SECONDS = 2;
const WARM_UP_MILLISECONDS = 8_000;
const HOT_SHARE = 0.8;
const HOT_MILLISECONDS = 5_000;
const DETECTION_MILLISECONDS = 1_500;
const EVENT_MILLISECONDS = 5_000;

const [
  scenario = "even",
  limiterName = "escrow",
  vmsText = "40",
  loadText = "0.95",
  secondsText = "30",
  seedText = "1",
  reservedText = String(limits.RESERVED_POLICY.share),
  countText = "2",
  ratesText = "1,2,5,10,100,1000",
  minimumBurstText = String(limits.RESERVED_POLICY.minimumBurst),
] = process.argv.slice(2);
const rates = ratesText.split(",").map(Number);
const vmCount = Number(vmsText);
const load = Number(loadText);
const milliseconds = Number(secondsText) * 1_000;
const random = mersenne.mersenne(Number(seedText));

interface Tally {
  readonly workspace: model.Workspace;
  readonly reference: limits.TokenBucket;
  arrivals: number;
  refused: number;
  referenceRefused: number;
  waited: number;
  arrivalsAfterEvent: number;
  refusedAfterEvent: number;
  referenceRefusedAfterEvent: number;
}

const clock = new kernelTesting.TestClock();
const tallies: Tally[] = [];
for (const rate of rates) {
  for (let index = 0; index < Number(countText); index++) {
    const burst = Math.max(2, rate * BURST_SECONDS);
    const workspace = harness.createWorkspace(`rate-${rate}-${index}`, rate, burst);
    const now = kernel.getMonotonicMilliseconds();
    const reference = new limits.TokenBucket(rate, burst, burst, now);
    tallies.push({
      workspace,
      reference,
      arrivals: 0,
      refused: 0,
      referenceRefused: 0,
      waited: 0,
      arrivalsAfterEvent: 0,
      refusedAfterEvent: 0,
      referenceRefusedAfterEvent: 0,
    });
  }
}
const waits = new kernel.LatencyDistribution();
const fleet = new harness.TestFleet({
  vmCount,
  vmLimit: Math.ceil(vmCount * 1.1),
  workspaces: tallies.map((tally) => tally.workspace),
  reservedPolicy: { share: Number(reservedText), minimumBurst: Number(minimumBurstText) },
  ...chooseLimiter(),
});

function chooseLimiter(): Partial<harness.FleetOptions> {
  switch (limiterName) {
    case "static":
      return {
        createLimiter: (parts) => new limits.StaticShareLimiter(parts.configuration),
      };
    case "gossip":
      return { createLimiter: (parts) => new gossip.GossipLimiter(parts) };
    default:
      return {};
  }
}

function drawFloat(): number {
  return uniform.uniformFloat64(random);
}

/** Time to the next arrival of a Poisson process. */
function drawGap(rate: number): number {
  return -Math.log(1 - drawFloat()) / rate * 1_000;
}

function chooseVm(elapsed: number): harness.TestVm {
  const alive = fleet.vms.filter((vm) => vm.state === "alive");
  const isHot = (scenario === "skewed" || scenario === "moving") && drawFloat() < HOT_SHARE;
  const hot = scenario === "moving" ? Math.floor(elapsed / HOT_MILLISECONDS) * 7 : 3;
  const index = isHot ? hot : Math.floor(drawFloat() * alive.length);
  return kernel.getDefined(alive[index % alive.length], "A VM is alive.");
}

function sendRequest(tally: Tally, elapsed: number): void {
  const isAfterEvent = elapsed >= EVENT_MILLISECONDS && elapsed < EVENT_MILLISECONDS + 10_000;
  const now = kernel.getMonotonicMilliseconds();
  tally.arrivals++;
  tally.arrivalsAfterEvent += isAfterEvent ? 1 : 0;
  if (!tally.reference.tryTake(1, now)) {
    tally.referenceRefused++;
    tally.referenceRefusedAfterEvent += isAfterEvent ? 1 : 0;
  }
  fleet.request(chooseVm(elapsed), tally.workspace.id, (admitted, waited) => {
    if (!admitted) {
      tally.refused++;
      tally.refusedAfterEvent += isAfterEvent ? 1 : 0;
    }
    if (waited > 0) {
      tally.waited++;
      waits.record(waited);
    }
  });
}

/** Causes the events of the scenario at the given time after the start of the measurement. */
function causeEvents(elapsed: number): void {
  const victim = kernel.getDefined(fleet.vms[Number(seedText) % vmCount], "The VM exists.");
  if (scenario === "partition" && elapsed === EVENT_MILLISECONDS) {
    cutInTwo();
  }
  if (scenario === "stopped" && elapsed === EVENT_MILLISECONDS) {
    void fleet.drain(victim);
  }
  if ((scenario === "lost" || scenario === "replaced") && elapsed === EVENT_MILLISECONDS) {
    fleet.kill(victim);
  }
  if (scenario === "replaced" && elapsed === EVENT_MILLISECONDS + DETECTION_MILLISECONDS) {
    fleet.addVm();
  }
  if (elapsed === EVENT_MILLISECONDS + DETECTION_MILLISECONDS && scenario !== "partition") {
    fleet.publishMembers();
  }
}

/**
 * Cuts two fifths of the VMs off from the rest. Both sides update their members after the detection
 * time.
 */
function cutInTwo(): void {
  const small = new Set(fleet.vms.slice(0, Math.floor(vmCount * 0.4)));
  for (const from of fleet.vms) {
    for (const to of fleet.vms) {
      if (small.has(from) !== small.has(to)) {
        fleet.setCut(from, to, true);
      }
    }
  }
  setTimeout(() => {
    const members = fleet.listMembers();
    for (const vm of fleet.vms) {
      const side = fleet.vms.filter((other) => small.has(other) === small.has(vm));
      const names = new Set(side.map((other) => other.identity.vm));
      vm.membership.set(members.filter((member) => names.has(member.vm)));
    }
  }, DETECTION_MILLISECONDS);
}

async function run(): Promise<void> {
  const next = tallies.map((tally) => drawGap(tally.workspace.rate * load));
  for (let elapsed = 0; elapsed < milliseconds; elapsed++) {
    causeEvents(elapsed);
    for (const [index, tally] of tallies.entries()) {
      while ((next[index] ?? 0) <= elapsed) {
        sendRequest(tally, elapsed);
        next[index] = (next[index] ?? 0) + drawGap(tally.workspace.rate * load);
      }
    }
    await clock.advance(1, 1);
  }
  await clock.advance(500);
}

function formatPercent(part: number, whole: number): string {
  return `${(100 * part / Math.max(whole, 1)).toFixed(3)}%`;
}

function report(label: string, chosen: readonly Tally[]): void {
  const sum = (read: (tally: Tally) => number) =>
    chosen.reduce((total, tally) => total + read(tally), 0);
  const arrivals = sum((tally) => tally.arrivals);
  const excess = sum((tally) => tally.refused - tally.referenceRefused);
  const arrivalsAfterEvent = sum((tally) => tally.arrivalsAfterEvent);
  const excessAfterEvent = sum((tally) =>
    tally.refusedAfterEvent - tally.referenceRefusedAfterEvent
  );
  const waited = sum((tally) => tally.waited);
  const violations = chosen.reduce(
    (total, tally) => total + (fleet.oracles.get(tally.workspace.id)?.violations ?? 0),
    0,
  );
  process.stdout.write(
    `${label}: arrivals ${arrivals}, refused within rate ${formatPercent(excess, arrivals)}, ` +
      `in the 10 s after 5 s ${formatPercent(excessAfterEvent, arrivalsAfterEvent)}, ` +
      `waited ${formatPercent(waited, arrivals)}, overshoot ${violations}\n`,
  );
}

await clock.advance(WARM_UP_MILLISECONDS, 20);
const frames = fleet.hub.frames;
const bytes = fleet.hub.bytes;
const cpu = process.cpuUsage();
await run();
const used = process.cpuUsage(cpu);
for (const rate of rates) {
  report(`rate ${rate}`, tallies.filter((tally) => tally.workspace.rate === rate));
}
report("all", tallies);
const vmSeconds = vmCount * milliseconds / 1_000;
process.stdout.write(
  `per VM and second: ${((fleet.hub.frames - frames) / vmSeconds).toFixed(1)} messages, ` +
    `${((fleet.hub.bytes - bytes) / vmSeconds).toFixed(0)} bytes sent; ` +
    `CPU of the whole simulation ${((used.user + used.system) / 10_000 / vmSeconds).toFixed(3)}%` +
    ` of a core per VM; wait p99 ${waits.getQuantileMilliseconds(0.99).toFixed(1)} ms, ` +
    `heap ${(process.memoryUsage().heapUsed / 1e6).toFixed(0)} MB\n`,
);
process.exit(0);
