/**
 * Checks the escrow limiter against the oracle in specific scenarios.
 */

import assert from "node:assert/strict";
import * as test from "node:test";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as limits from "../src/mod.ts";
import * as harness from "./fleet_harness.ts";

const READY_MILLISECONDS = 4_500;

/** Offsets between neighbouring VMs in the pattern of the members that each VM does not see. */
const VIEW_STEPS = [1, 2, 3, 5, 6, 7, 9, 11];

/** Several leases, in which earlier votes expire or are released. */
const SETTLE_MILLISECONDS = 15_000;

/** Whether messages from one VM to the other go from the first data centre to the second. */
function isNextDataCentre(vm: harness.TestVm, other: harness.TestVm): boolean {
  const [first, second] = ["dc-0", "dc-1"];
  return vm.identity.dataCentre === first && other.identity.dataCentre === second;
}

async function sumGauge(fleet: harness.TestFleet, name: string): Promise<number> {
  let sum = 0;
  for (const vm of fleet.vms) {
    const gauge = await vm.metrics.registry.getSingleMetric(name)?.get();
    sum += gauge?.values[0]?.value ?? 0;
  }
  return sum;
}

test.describe("escrow limiter", () => {
  let clock: kernelTesting.TestClock;

  test.beforeEach(() => {
    clock = new kernelTesting.TestClock();
  });
  test.afterEach(() => {
    clock.restore();
  });

  test.it("admits the whole rate at one VM and never more", async () => {
    const workspace = harness.createWorkspace("antwerp", 50, 20);
    const fleet = new harness.TestFleet({ vmCount: 5, vmLimit: 6, workspaces: [workspace] });
    await clock.advance(READY_MILLISECONDS);
    const vm = fleet.vms[1]!;
    for (let step = 0; step < 1_000; step++) {
      fleet.request(vm, workspace.id);
      await clock.advance(10, 5);
    }
    const oracle = fleet.oracles.get(workspace.id)!;
    assert.equal(oracle.violations, 0);
    assert.ok(oracle.admissions > 0.95 * (50 * 10), `${oracle.admissions} were admitted`);
    fleet.stop();
  });

  test.it("requests tokens through an intermediary VM when a direct path is cut", async () => {
    // Enough workspaces that some have their coordinator in each data centre.
    const workspaces = Array.from(
      { length: 12 },
      (_, index) => harness.createWorkspace(`workspace-${index}`, 50, 20),
    );
    const fleet = new harness.TestFleet({ vmCount: 8, vmLimit: 9, workspaces });
    await clock.advance(READY_MILLISECONDS);
    let admitted = 0;
    for (const vm of fleet.vms) {
      for (const other of fleet.vms.filter((candidate) => isNextDataCentre(vm, candidate))) {
        fleet.setCut(vm, other, true);
      }
    }
    // In the first second, the VMs detect which paths are cut.
    await clock.advance(1_000);
    for (let step = 0; step < 400; step++) {
      const vm = fleet.vms[step % fleet.vms.length]!;
      for (const workspace of workspaces) {
        fleet.request(vm, workspace.id, (isAdmitted) => admitted += isAdmitted ? 1 : 0);
      }
      await clock.advance(25, 5);
    }
    await clock.advance(1_000);
    assert.equal(fleet.violations, 0);
    const sent = 400 * workspaces.length;
    assert.ok(admitted >= 0.98 * sent, `${admitted} of ${sent} were admitted`);
    fleet.stop();
  });

  for (const step of VIEW_STEPS) {
    test.it(`settles on one coordinator for each shard after views differed by ${step}`, async () => {
      const workspace = harness.createWorkspace("antwerp", 50, 20);
      const fleet = new harness.TestFleet({ vmCount: 12, vmLimit: 13, workspaces: [workspace] });
      const members = fleet.listMembers();
      for (let round = 0; round < 12; round++) {
        for (const [index, vm] of fleet.vms.entries()) {
          const isSeen = (other: number) =>
            other === index || (other * 5 + index * step + round) % 4 > 0;
          vm.membership.set(members.filter((_, other) => isSeen(other)));
        }
        await clock.advance(READY_MILLISECONDS / 4);
      }
      fleet.publishMembers();
      await clock.advance(SETTLE_MILLISECONDS);
      assert.equal(await sumGauge(fleet, "hemlockwalk_limits_shards"), limits.SHARD_COUNT);
      // A second claimant would keep its votes, and its voters would send it requests that it
      // cannot grant.
      assert.equal(await sumGauge(fleet, "hemlockwalk_limits_claimed_shards"), limits.SHARD_COUNT);
      fleet.stop();
    });

    test.it("hands the levels of a VM that stops to its successor", async () => {
      const workspace = harness.createWorkspace("antwerp", 2, 100);
      const fleet = new harness.TestFleet({ vmCount: 5, vmLimit: 5, workspaces: [workspace] });
      await clock.advance(READY_MILLISECONDS + 60_000, 100);
      const coordinator = fleet.getCoordinator(workspace.id);
      // Half of the burst is spent, so the level is listed in the handover and differs from that of
      // an idle workspace.
      for (let request = 0; request < 50; request++) {
        fleet.request(coordinator, workspace.id);
      }
      const before = fleet.admissions;
      const stopped = fleet.drain(coordinator);
      await clock.advance(2_500);
      await stopped;
      fleet.publishMembers();
      const successor = fleet.getCoordinator(workspace.id);
      for (let request = 0; request < 100; request++) {
        fleet.request(successor, workspace.id);
      }
      await clock.advance(100);
      assert.notEqual(successor, coordinator);
      assert.equal(fleet.violations, 0);
      assert.ok(fleet.admissions - before >= 45, `${fleet.admissions - before} were admitted`);
      fleet.stop();
    });

    test.it("admits again a few seconds after the coordinator was lost", async () => {
      const workspace = harness.createWorkspace("antwerp", 50, 100);
      const fleet = new harness.TestFleet({ vmCount: 5, vmLimit: 5, workspaces: [workspace] });
      await clock.advance(READY_MILLISECONDS);
      fleet.kill(fleet.getCoordinator(workspace.id));
      fleet.publishMembers();
      await clock.advance(5_000);
      const before = fleet.admissions;
      for (let step = 0; step < 100; step++) {
        fleet.request(fleet.vms.find((vm) => vm.state === "alive")!, workspace.id);
        await clock.advance(20, 5);
      }
      assert.equal(fleet.violations, 0);
      assert.equal(fleet.admissions - before, 100);
      fleet.stop();
    });
  }
});
