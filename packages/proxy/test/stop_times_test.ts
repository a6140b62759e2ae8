/**
 * Tests of the times of a stop, and of stops with a short grace period. A title names the failure
 * that the test guards against.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as stopTimes from "../src/stop_times.ts";
import * as harness from "./harness.ts";

const SHORT_GRACE_MILLISECONDS = 1_200;

test.describe("times of a stop", () => {
  test.test("the usual grace period is not used up", () => {
    assert.deepEqual(stopTimes.getStopTimes(1_000, 6_000), {
      closesAt: 3_800,
      lateAt: 4_000,
      cutOffAt: 6_600,
      endsAt: 6_800,
    });
  });

  test.test("the cut-off of a short grace period comes after its end or before the close", () => {
    for (const grace of [1, 100, 1_000, 2_000, 2_800, 3_000, 4_000, 6_000, 60_000]) {
      const { closesAt, lateAt, cutOffAt, endsAt } = stopTimes.getStopTimes(500, grace);
      const inOrder = [500, closesAt, lateAt, cutOffAt, endsAt, 500 + grace];
      assert.deepEqual([...inOrder].sort((left, right) => left - right), inOrder);
      assert.equal(new Set(inOrder).size, inOrder.length, inOrder.join(" "));
    }
  });

  test.test("a stop lasts longer than a grace period shorter than the balancer's lag", async () => {
    const vm = new harness.TestVm({
      name: "vm",
      store: new harness.MemoryStore(),
      seeds: [],
      bounds: { ...harness.BOUNDS, graceMilliseconds: SHORT_GRACE_MILLISECONDS },
    });
    await vm.start(1);
    const requestedAt = kernel.getMonotonicMilliseconds();
    await vm.stop();
    const milliseconds = kernel.getMonotonicMilliseconds() - requestedAt;
    assert.ok(milliseconds < SHORT_GRACE_MILLISECONDS, `${milliseconds} ms`);
  });
});
