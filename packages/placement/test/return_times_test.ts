/**
 * Tests of the division by urgency and of return times.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as testing from "@hemlockwalk/kernel/testing";
import * as placement from "@hemlockwalk/placement";
import * as fc from "fast-check";
import * as randoms from "./random.ts";

test.describe("division by urgency", () => {
  // Guards against a kind of request that is starved, and against more than the refill.
  test.test("divides at most the refill and starves no priority", () => {
    fc.assert(
      fc.property(
        fc.double({ min: 0, max: 300, noNaN: true }),
        fc.array(fc.double({ min: 0, max: 500, noNaN: true }), { minLength: 1, maxLength: 4 }),
        (refill, demands) => {
          const parts = placement.divideByUrgency(refill, demands);
          const sum = (values: readonly number[]) => values.reduce((total, one) => total + one, 0);
          assert.ok(sum(parts) <= refill + 1e-6 || sum(parts) <= sum(demands) + 1e-6);
          assert.ok(Math.abs(sum(parts) - Math.min(refill, sum(demands))) < 1e-6);
          const overall = Math.min(1, refill / sum(demands));
          let lastShare = 1;
          parts.forEach((part, index) => {
            const demand = demands[index] ?? 0;
            assert.ok(part <= demand + 1e-6);
            if (demand > 1e-3) {
              assert.ok(part / demand >= 0.25 * overall - 1e-6);
              assert.ok(part / demand <= lastShare + 1e-6, "more urgent requests go first");
              lastShare = part / demand;
            }
          });
        },
      ),
      testing.getRandomRuns(205, 300),
    );
  });
});

test.describe("return times", () => {
  // Guards against callers that all return at the same time, faster than tokens accrue.
  test.test("are given out no faster than the refill, and within the caller's time", () => {
    const times = new placement.ReturnTimes(randoms.createRandom(7));
    const given = Array.from({ length: 200 }, () => times.take(0, 0.02, 0, 1_600));
    assert.ok(given.every((time) => time > 0 && time <= 800));
    // 0.02 tokens in a millisecond are 8 in 400 ms; the returns beyond them are spread to the cap.
    assert.ok(given.filter((time) => time < 400).length <= 8);
    assert.ok(new Set(given.map((time) => Math.round(time / 50))).size >= 8, "spread");
  });

  // Guards against urgent requests that return behind others.
  test.test("are no number on a VM that does not know the refill yet, or ever after", () => {
    const times = new placement.ReturnTimes(() => 0.5);
    for (const rate of [0, Number.NaN, 0.01]) {
      const delay = times.take(0, rate, 1_000, 10_000);
      assert.ok(delay > 0 && delay <= 5_000, `${delay} ms at a rate of ${rate}`);
    }
  });

  test.test("of urgent requests are earlier", () => {
    const times = new placement.ReturnTimes(randoms.createRandom(8));
    const mean = (priorityClass: number) =>
      Array.from({ length: 100 }, () => times.take(priorityClass, 0.01, 0, 30_000))
        .reduce((sum, time) => sum + time, 0) / 100;
    const means = [0, 1, 2, 3].map(mean);
    assert.deepEqual(means, [...means].sort((one, other) => one - other));
  });
});
