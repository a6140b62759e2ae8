/**
 * Measures memory and CPU time per active workspace: `active_workspaces KNOWN ACTIVE`.
 *
 * The configuration of five VMs declares KNOWN workspaces. One request for each of ACTIVE of them
 * arrives at one VM within a second; no requests follow. Run with --expose-gc.
 */

import process from "node:process";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as harness from "../test/fleet_harness.ts";

const VM_COUNT = 5;
const READY_MILLISECONDS = 6_000;
const QUIET_MILLISECONDS = 20_000;
const ROUNDS = 100;

const [knownText = "72000", activeText = "1000"] = process.argv.slice(2);
const workspaces = Array.from(
  { length: Number(knownText) },
  (_, index) => harness.createWorkspace(`workspace-${index}`, 10, 20),
);

function measureHeap(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

async function countActive(fleet: harness.TestFleet): Promise<number> {
  let active = 0;
  for (const vm of fleet.vms) {
    const metric = vm.metrics.registry.getSingleMetric("hemlockwalk_limits_active_workspaces");
    active += (await metric?.get())?.values[0]?.value ?? 0;
  }
  return active;
}

const clock = new kernelTesting.TestClock();
const fleet = new harness.TestFleet({ vmCount: VM_COUNT, vmLimit: VM_COUNT, workspaces });
await clock.advance(READY_MILLISECONDS, 20);
const before = measureHeap();
const active = workspaces.slice(0, Number(activeText));
const perRound = Math.ceil(active.length / ROUNDS);
const started = process.cpuUsage();
for (let round = 0; round < ROUNDS; round++) {
  for (const workspace of active.slice(round * perRound, (round + 1) * perRound)) {
    fleet.request(fleet.vms[0]!, workspace.id);
  }
  await clock.advance(10, 5);
}
const used = process.cpuUsage(started);
const during = measureHeap();
const activeDuring = await countActive(fleet);
await clock.advance(QUIET_MILLISECONDS, 50);
const after = measureHeap();
const perWorkspace = (during - before) / Math.max(active.length, 1);
process.stdout.write(
  `known ${workspaces.length}, active ${active.length}: admitted ${fleet.admissions}, ` +
    `state ${activeDuring} entries, ${perWorkspace.toFixed(0)} bytes of heap per active one on ` +
    `all VMs, ${((used.user + used.system) / Math.max(active.length, 1)).toFixed(0)} us of CPU ` +
    `per request on all VMs; after ${QUIET_MILLISECONDS / 1_000} s without requests ` +
    `${await countActive(fleet)} entries, heap ${((after - before) / 1e6).toFixed(1)} MB above ` +
    `the start\n`,
);
process.exit(0);
