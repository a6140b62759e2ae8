/**
 * Tests of the pauses that targets request.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as testing from "@hemlockwalk/kernel/testing";
import * as model from "@hemlockwalk/model";
import * as placement from "@hemlockwalk/placement";

const TARGET = model.createTargetId("a");

test.describe("pauses of targets", () => {
  test.test("whole and fractional seconds are read", () => {
    const seconds: [string, number][] = [["2", 2_000], ["0.25", 250], [" 3. ", 3_000]];
    for (const [text, milliseconds] of seconds) {
      const expected = { kind: "pause", milliseconds, isShortened: false };
      assert.deepEqual(placement.parsePause(text), expected);
    }
  });

  test.test("an absurd time is shortened", () => {
    assert.deepEqual(placement.parsePause("1" + "0".repeat(400)), {
      kind: "pause",
      milliseconds: placement.MAX_PAUSE_MILLISECONDS,
      isShortened: true,
    });
  });

  test.test("what states no positive number of seconds is invalid", () => {
    const texts = ["", "-1", "0", "0.0", "soon", "1e3", "NaN", "Infinity", "1,5", "2 s"];
    for (const text of [...texts, "Fri, 04 Dec 2026 08:00:00 GMT"]) {
      assert.equal(placement.parsePause(text).kind, "invalid", text);
    }
  });

  test.test("a shorter pause does not end a longer one", async () => {
    const clock = new testing.TestClock();
    try {
      const pauses = new placement.TargetPauses();
      assert.equal(pauses.getRemaining(TARGET), 0);
      pauses.start(TARGET, 2_000);
      pauses.start(TARGET, 500);
      await clock.advance(1_990);
      assert.ok(pauses.getRemaining(TARGET) > 0);
      await clock.advance(20);
      assert.equal(pauses.getRemaining(TARGET), 0);
    } finally {
      clock.restore();
    }
  });

  test.test("a request waits only for a pause that ends in time", () => {
    assert.equal(placement.decideWithoutTarget(200, 250), "wait");
    assert.equal(placement.decideWithoutTarget(300, 250), "refuse");
  });
});

test.describe("the wait for a target", () => {
  test.test("many requests wait for the same token and are refused only when their time is over", () => {
    const cold: placement.TargetSchedule = {
      milliseconds: 300,
      isPause: false,
      requestsPerSecond: 0.5,
      unlimitedAfterMilliseconds: 3_000,
    };
    const other = { ...cold, milliseconds: 900 };
    const getWaits = (schedules: readonly placement.TargetSchedule[]) =>
      [0, 1, 2, 3, 4, 9].map((ahead) => placement.findWait(schedules, ahead)?.milliseconds);
    assert.deepEqual(getWaits([cold, other]), [300, 900, 2_300, 2_900, 3_000, 3_000]);
    const withoutPart = { ...cold, milliseconds: 3_000, requestsPerSecond: 0 };
    assert.deepEqual(getWaits([withoutPart]), [3_000, 3_000, 3_000, 3_000, 3_000, 3_000]);
    const stated = { ...cold, unlimitedAfterMilliseconds: Number.POSITIVE_INFINITY };
    assert.equal(placement.findWait([stated], 10)?.milliseconds, 20_300);
    assert.equal(placement.findWait([], 0), undefined);
  });
});
