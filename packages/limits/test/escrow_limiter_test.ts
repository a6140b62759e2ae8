/**
 * The escrow limiter in chosen situations, against the oracle.
 */

import assert from "node:assert/strict";
import * as test from "node:test";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as harness from "./fleet_harness.ts";

const READY_MILLISECONDS = 4_500;

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
});
