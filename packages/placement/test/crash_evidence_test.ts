/**
 * Tests of the evidence on requests under which targets end.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as testing from "@hemlockwalk/kernel/testing";
import * as model from "@hemlockwalk/model";
import * as placement from "@hemlockwalk/placement";
import * as fc from "fast-check";

const REQUEST = "request" as model.RequestFingerprint;

const QUARANTINE_MILLISECONDS = 300_000;

function createEnd(name: string, endedAt: number, startedAt = 1): placement.TargetEnd {
  return { target: model.createTargetId(name), startedAt, endedAt };
}

function createEvidence(ends: readonly placement.TargetEnd[]): placement.CrashEvidence {
  const evidence = new placement.CrashEvidence();
  ends.forEach((end) => evidence.recordEnd(REQUEST, end));
  return evidence;
}

function isQuarantined(evidence: placement.CrashEvidence): boolean {
  return evidence.findQuarantine(REQUEST) !== undefined;
}

test.describe("requests under which targets end", () => {
  let clock: testing.TestClock;
  let now: number;

  test.beforeEach(() => {
    clock = new testing.TestClock();
    now = kernel.getMonotonicMilliseconds();
  });

  test.afterEach(() => {
    clock.restore();
  });

  test.test("the third end of a target quarantines the request and no other one", () => {
    const ends = [createEnd("a", now - 900), createEnd("b", now - 500), createEnd("c", now)];
    assert.equal(isQuarantined(createEvidence(ends.slice(0, 2))), false);
    const evidence = createEvidence(ends);
    assert.deepEqual(evidence.findQuarantine(REQUEST), {
      ends: 3,
      remainingMilliseconds: QUARANTINE_MILLISECONDS,
    });
    assert.equal(evidence.findQuarantine("other" as model.RequestFingerprint), undefined);
  });

  test.test("an incarnation that several VMs report counts once, the next one again", () => {
    const ends = [createEnd("a", now - 900), createEnd("a", now - 100), createEnd("b", now)];
    assert.equal(isQuarantined(createEvidence(ends)), false);
    assert.equal(isQuarantined(createEvidence([...ends, createEnd("a", now, 2)])), true);
  });

  test.test("targets that end at the same moment quarantine no request", () => {
    const ends = ["a", "b", "c", "d"].map((name, index) => createEnd(name, now + index * 60));
    assert.equal(isQuarantined(createEvidence(ends)), false);
  });

  test.test("a success refutes the ends before it, also if they are reported again", () => {
    const ends = [createEnd("a", now - 900), createEnd("b", now - 500), createEnd("c", now - 10)];
    const evidence = createEvidence(ends);
    assert.equal(evidence.recordSuccess(REQUEST, now), true);
    assert.equal(isQuarantined(evidence), false);
    assert.deepEqual(ends.map((end) => evidence.recordEnd(REQUEST, end)), [false, false, false]);
    assert.equal(isQuarantined(evidence), false);
    assert.equal(evidence.hasEnds(REQUEST), false);
  });

  test.test("a success that is heard again by a longer way is told to others for ever", () => {
    const evidence = createEvidence([createEnd("a", now - 900)]);
    assert.equal(evidence.recordSuccess(REQUEST, now), true);
    assert.equal(evidence.recordSuccess(REQUEST, now + 3), false);
    assert.equal(evidence.recordEnd(REQUEST, createEnd("a", now - 897)), false);
  });

  test.test("a VM that was cut off brings back a quarantine that a success has ended", async () => {
    const ends = ["a", "b", "c", "d", "e", "f", "g"].map((name, index) =>
      createEnd(name, now + index * 100)
    );
    const evidence = createEvidence(ends);
    assert.equal(evidence.hasSuspects, true);
    evidence.recordSuccess(REQUEST, now + 1_000);
    assert.equal(evidence.hasSuspects, false);
    // As long as the ends alone would call for a quarantine, and longer.
    for (const milliseconds of [601_000, 2_000_000, 1_500_000]) {
      await clock.advance(milliseconds, milliseconds);
      evidence.discardExpired();
      ends.forEach((end) => evidence.recordEnd(REQUEST, end));
      assert.equal(isQuarantined(evidence), false);
      assert.equal(evidence.hasEnds(REQUEST), false);
    }
    await clock.advance(600_000, 600_000);
    evidence.discardExpired();
    assert.equal(evidence.isEmpty, true);
  });

  test.test("a success keeps the ends after it beyond their time", async () => {
    const evidence = createEvidence([createEnd("a", now)]);
    evidence.recordSuccess(REQUEST, now + 10);
    evidence.recordEnd(REQUEST, createEnd("b", now + 20));
    await clock.advance(600_021, 600_021);
    evidence.discardExpired();
    assert.equal(evidence.hasEnds(REQUEST), false);
    assert.equal(evidence.isEmpty, false, "the success is kept");
  });

  test.test("a quarantine ends, and one more end then begins a longer one", async () => {
    const evidence = createEvidence([
      createEnd("a", now - 900),
      createEnd("b", now - 500),
      createEnd("c", now),
    ]);
    await clock.advance(QUARANTINE_MILLISECONDS + 1);
    assert.equal(isQuarantined(evidence), false);
    evidence.discardExpired();
    evidence.recordEnd(REQUEST, createEnd("d", kernel.getMonotonicMilliseconds()));
    const { remainingMilliseconds } = evidence.findQuarantine(REQUEST) ?? assert.fail();
    assert.equal(Math.round(remainingMilliseconds), 2 * QUARANTINE_MILLISECONDS);
  });

  test.test("evidence that is too old is dropped, so that memory is bounded", async () => {
    const evidence = createEvidence([createEnd("a", now)]);
    for (let index = 0; index < 2_000; index++) {
      evidence.recordEnd(`request-${index}` as model.RequestFingerprint, createEnd("a", now));
    }
    assert.ok(evidence.list().length <= 256);
    await clock.advance(600_001);
    evidence.discardExpired();
    assert.equal(evidence.isEmpty, true);
  });

  test.test("VMs that hear the same in any order, and more than once, decide alike", () => {
    type Finding = readonly ["end", string, number] | readonly ["success", number];
    const time = fc.integer({ min: 0, max: 3_000 });
    const finding: fc.Arbitrary<Finding> = fc.oneof(
      fc.tuple(fc.constant("end" as const), fc.constantFrom("a", "b", "c", "d", "e"), time),
      fc.tuple(fc.constant("success" as const), time),
    );
    const findings = fc.uniqueArray(finding, {
      maxLength: 8,
      selector: (one) => one[0] === "end" ? one[1] : "success",
    });
    const drawn = findings.chain((first) =>
      fc.tuple(
        fc.constant(first),
        fc.shuffledSubarray([...first, ...first], {
          minLength: first.length * 2,
          maxLength: first.length * 2,
        }),
      )
    );
    const apply = (list: readonly Finding[]) => {
      const evidence = new placement.CrashEvidence();
      for (const one of list) {
        if (one[0] === "end") {
          evidence.recordEnd(REQUEST, createEnd(one[1], now + one[2]));
        } else {
          evidence.recordSuccess(REQUEST, now + one[1]);
        }
      }
      return evidence.list();
    };
    fc.assert(fc.property(drawn, ([once, repeated]) => {
      const strip = (list: ReturnType<typeof apply>) =>
        list.map(([, { ends, succeededAt }]) => ({
          ends: [...ends].sort((left, right) => left.target < right.target ? -1 : 1),
          succeededAt,
        }));
      assert.deepEqual(strip(apply(repeated)), strip(apply(once)));
    }));
  });
});
