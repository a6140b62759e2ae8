/**
 * Tests of the belief in targets and of the choice among them, on the load that they answer.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as testing from "@hemlockwalk/kernel/testing";
import * as model from "@hemlockwalk/model";
import * as placement from "@hemlockwalk/placement";
import * as randoms from "./random.ts";

function createCandidate(
  id: string,
  changes: Partial<placement.Candidate> = {},
): placement.Candidate {
  return {
    id: model.createTargetId(id),
    slots: 4,
    load: 0,
    sickness: 0.02,
    unobservedMilliseconds: 0,
    evidenceAgeMilliseconds: changes.unobservedMilliseconds ?? 0,
    slowness: 1,
    isUnreachable: false,
    isRemote: false,
    warmUpMilliseconds: 0,
    ...changes,
  };
}

const WRITE: placement.PlacementNeed = {
  mayRetry: false,
  objectiveMilliseconds: 500,
  typicalMilliseconds: 200,
  allowedOverflow: 1,
};

const READ: placement.PlacementNeed = { ...WRITE, mayRetry: true };

function choose(
  candidates: readonly placement.Candidate[],
  need: placement.PlacementNeed,
  random = () => 0.6,
): string {
  const choice = placement.chooseTarget(candidates, need, random);
  return choice.kind === "chosen" ? choice.candidate.id : choice.kind;
}

test.describe("belief", () => {
  test.test("one error makes a target doubted, one success trusted again", async () => {
    const clock = new testing.TestClock();
    try {
      const belief = new placement.TargetBelief();
      belief.observe("success", clock.monotonicMilliseconds);
      assert.ok(belief.sickness < 0.1, `after a success: ${belief.sickness}`);
      await clock.advance(300);
      belief.observe("error", clock.monotonicMilliseconds);
      assert.ok(belief.sickness > 0.6, `after an error: ${belief.sickness}`);
      await clock.advance(300);
      belief.observe("success", clock.monotonicMilliseconds);
      assert.ok(belief.sickness < 0.4, `after the next success: ${belief.sickness}`);
    } finally {
      clock.restore();
    }
  });

  test.test("a success of a call that began before a failure proves nothing", async () => {
    const clock = new testing.TestClock();
    try {
      const belief = new placement.TargetBelief();
      const longCallAt = clock.monotonicMilliseconds;
      await clock.advance(200);
      belief.observe("error", clock.monotonicMilliseconds);
      await clock.advance(100);
      belief.observe("success", longCallAt);
      assert.ok(belief.sickness > 0.7, `after a late success: ${belief.sickness}`);
    } finally {
      clock.restore();
    }
  });

  test.test("a call that has outlived the time of errors speaks for its target", async () => {
    const clock = new testing.TestClock();
    try {
      const belief = new placement.TargetBelief();
      belief.observe("error", clock.monotonicMilliseconds);
      await clock.advance(1_000);
      const before = belief.sickness;
      belief.observe("survived", clock.monotonicMilliseconds - 60);
      assert.ok(belief.sickness < before / 1.5, `${before} to ${belief.sickness}`);
    } finally {
      clock.restore();
    }
  });

  test.test("the end of a long call is no news of the present", async () => {
    const clock = new testing.TestClock();
    try {
      const belief = new placement.TargetBelief();
      const startedAt = clock.monotonicMilliseconds;
      await clock.advance(60);
      belief.observe("survived", startedAt);
      await clock.advance(2_000, 500);
      belief.observe("success", startedAt);
      assert.equal(belief.speaksOf, startedAt);
    } finally {
      clock.restore();
    }
  });

  test.test("without news a belief drifts back within a few spells", async () => {
    const clock = new testing.TestClock();
    try {
      const stationary = new placement.TargetBelief().sickness;
      const belief = new placement.TargetBelief();
      belief.observe("error", clock.monotonicMilliseconds, 3);
      await clock.advance(15_000, 500);
      assert.ok(Math.abs(belief.sickness - stationary) < 0.01);
    } finally {
      clock.restore();
    }
  });

  test.test("a single lost answer does not condemn a target that serves", () => {
    const belief = new placement.TargetBelief();
    belief.observe("success", performance.now(), 5);
    belief.observe("broken", performance.now());
    assert.ok(belief.sickness < 0.5, `after a lost answer: ${belief.sickness}`);
  });
});

test.describe("choice of a target", () => {
  test.test("a request that must not fail goes to the target that proved well", () => {
    const doubted = createCandidate("doubted", { sickness: 0.4 });
    const busyButWell = createCandidate("well", { load: 3 });
    assert.equal(choose([doubted, busyButWell], WRITE), "well");
  });

  test.test("a repeatable request looks after a doubtful target that nobody looks after", () => {
    const doubted = createCandidate("doubted", { sickness: 0.4, unobservedMilliseconds: 900 });
    const well = createCandidate("well");
    assert.equal(choose([doubted, well], READ, () => 0.1), "doubted");
    const watched = { ...doubted, load: 1 };
    assert.equal(choose([watched, well], READ, () => 0.1), "well");
    const busyForLong = { ...watched, evidenceAgeMilliseconds: 1_300 };
    assert.equal(choose([busyForLong, well], READ, () => 0.1), "doubted");
  });

  test.test("a fleet that nobody has told anything looks after most targets within two seconds", () => {
    // 62 repeatable requests a second over 70 targets; a choice is known to the other VMs 300 ms later.
    const random = randoms.createRandom(7);
    const chosenAt = new Map<string, number>();
    const targets = Array.from({ length: 70 }, (_, index) => `target-${index}`);
    for (let request = 0; request < 124; request++) {
      const at = request * 1_000 / 62;
      const candidates = targets.map((id) => {
        const first = chosenAt.get(id);
        const isKnown = first !== undefined && first + 300 <= at;
        return createCandidate(id, {
          sickness: isKnown ? 0.08 : 0.28,
          unobservedMilliseconds: isKnown ? at - first : Number.POSITIVE_INFINITY,
        });
      });
      const id = choose(candidates, READ, random);
      chosenAt.set(id, chosenAt.get(id) ?? at);
    }
    assert.ok(chosenAt.size >= 0.5 * targets.length, `${chosenAt.size} were looked after`);
  });

  test.test("a service that gets few requests, none repeatable, still uses most of its targets", () => {
    // Ten requests a second over six targets that are well; one would do for all of them.
    const random = randoms.createRandom(3);
    const heardAt = new Map<string, number>();
    const chosenAt: { id: string; at: number }[] = [];
    const targets = Array.from({ length: 6 }, (_, index) => `target-${index}`);
    for (let at = 0; at < 20_000; at += 100) {
      const candidates = targets.map((id) => {
        const unobservedMilliseconds = at - (heardAt.get(id) ?? Number.NEGATIVE_INFINITY);
        const drift = Math.exp(-unobservedMilliseconds / 1_950);
        return createCandidate(id, { sickness: 0.28 * (1 - drift), unobservedMilliseconds });
      });
      const id = choose(candidates, WRITE, random);
      heardAt.set(id, at);
      chosenAt.push({ id, at });
    }
    for (let from = 2_000; from <= 18_000; from += 500) {
      const used = new Set(
        chosenAt.filter(({ at }) => at >= from && at <= from + 2_000).map(({ id }) => id),
      );
      assert.ok(used.size >= 0.7 * targets.length, `${used.size} targets from ${from} on`);
    }
  });

  test.test("few repeatable requests look after each of seven doubtful targets in time", () => {
    // Seven a second; a choice is known to the others 300 ms later.
    const random = randoms.createRandom(11);
    const chosenAt = new Map<string, number>();
    let passedOver = 0;
    for (let request = 0; request < 700; request++) {
      const at = request * 1_000 / 7;
      const candidates = Array.from({ length: 7 }, (_, index) => {
        const id = `target-${index}`;
        const last = chosenAt.get(id) ?? Number.NEGATIVE_INFINITY;
        const unobservedMilliseconds = last + 300 <= at ? at - last : 2_000;
        passedOver += last + 2_500 < at && last > 0 ? 1 : 0;
        return createCandidate(id, { sickness: 0.28, unobservedMilliseconds });
      });
      chosenAt.set(choose(candidates, READ, random), at);
    }
    assert.ok(passedOver < 0.02 * 7 * 700, `${passedOver} times passed over for 2.5 s`);
  });

  test.test("targets that are busy with long work are looked after like others", () => {
    // Twenty reads of one to three seconds over 14 targets each second, heard of 150 ms later.
    const random = randoms.createRandom(5);
    const calls: { readonly id: string; readonly at: number; readonly endsAt: number }[] = [];
    const targets = Array.from({ length: 14 }, (_, index) => `target-${index}`);
    for (let at = 0; at < 20_000; at += 50) {
      const heard = calls.filter((call) => call.at <= at - 150);
      const candidates = targets.map((id) => {
        const known = heard.filter((call) => call.id === id);
        const evidenceAgeMilliseconds = Math.min(...known.map((call) => at - call.at));
        return createCandidate(id, {
          slots: 12,
          load: known.filter((call) => call.endsAt > at - 150).length,
          sickness: 0.28 * (1 - Math.exp(-evidenceAgeMilliseconds / 1_950)),
          unobservedMilliseconds: Math.min(
            ...known.map((call) =>
              at - 150 - (call.endsAt <= at - 150 ? call.endsAt : call.at + 60)
            ),
          ),
          evidenceAgeMilliseconds,
        });
      });
      // The rest goes to the targets of its own data centre, the first four.
      const id = choose(
        candidates.map((candidate, index) => ({ ...candidate, isRemote: index >= 4 })),
        READ,
        random,
      );
      calls.push({ id, at, endsAt: at + 1_000 + 2_000 * random() });
    }
    for (let from = 2_000; from <= 18_000; from += 250) {
      const used = new Set(
        calls.filter(({ at }) => at >= from && at < from + 2_000).map(({ id }) => id),
      );
      assert.ok(used.size >= 0.7 * targets.length, `${used.size} targets from ${from} on`);
    }
  });

  test.test("a request that may not be repeated does not look after a target that has failed", () => {
    const failed = createCandidate("failed", { sickness: 0.6, unobservedMilliseconds: 5_000 });
    const unknown = createCandidate("unknown", { sickness: 0.28, unobservedMilliseconds: 5_000 });
    assert.equal(choose([failed, createCandidate("well")], WRITE, () => 0.1), "well");
    assert.equal(choose([unknown, createCandidate("well")], WRITE, () => 0.1), "unknown");
  });

  test.test("a full target gets nothing", () => {
    assert.equal(choose([createCandidate("full", { load: 5 })], WRITE), "full");
    assert.equal(choose([], WRITE), "none");
  });

  test.test("load spreads before slots run out", () => {
    const counts = new Map<string, number>();
    const loads = new Map(["a", "b", "c"].map((id) => [id, 0]));
    for (let request = 0; request < 9; request++) {
      const candidates = [...loads].map(([id, load]) => createCandidate(id, { load }));
      const id = choose(candidates, WRITE);
      loads.set(id, (loads.get(id) ?? 0) + 1);
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    assert.deepEqual([...counts.values()].sort(), [3, 3, 3]);
  });

  test.test("a target that cannot be reached from here is the last resort", () => {
    const cut = createCandidate("cut", { isUnreachable: true });
    const sick = createCandidate("sick", { sickness: 0.9 });
    assert.equal(choose([cut, sick], WRITE), "sick");
    assert.equal(choose([cut], WRITE), "cut");
  });
});

test.describe("waiting line", () => {
  test.test("the most urgent is placed first, whoever waits too long is told", async () => {
    const clock = new testing.TestClock();
    try {
      const line = new placement.WaitingLine();
      const events: string[] = [];
      let room = 0;
      const add = (name: string, priority: number, waitUntil: number) =>
        line.add({
          priority,
          takesAnyTarget: true,
          waitUntil,
          tryPlace: () => {
            if (room === 0) {
              return false;
            }
            room--;
            events.push(`${name} placed`);
            return true;
          },
          giveUp: () => events.push(`${name} gave up`),
        });
      const now = clock.monotonicMilliseconds;
      add("late", 2, now + 100);
      add("read", 2, now + 1_000);
      add("write", 0, now + 1_000);
      await clock.advance(200);
      room = 1;
      await clock.advance(50);
      room = 1;
      await clock.advance(50);
      assert.deepEqual(events, ["late gave up", "write placed", "read placed"]);
      assert.equal(line.length, 0);
    } finally {
      clock.restore();
    }
  });

  test.test("room is looked for once for all that take any target, and for each other one", () => {
    const line = new placement.WaitingLine();
    const looked: string[] = [];
    const placed = new Set<string>();
    const add = (name: string, takesAnyTarget: boolean) => {
      const waiter: placement.Waiter = {
        priority: 1,
        takesAnyTarget,
        waitUntil: Number.POSITIVE_INFINITY,
        tryPlace: () => {
          looked.push(name);
          return placed.has(name);
        },
        giveUp: () => assert.fail("it waits without end"),
      };
      line.add(waiter);
      return waiter;
    };
    const waiters = [
      add("tried one", false),
      add("fresh", true),
      add("fresh too", true),
      add("tried another", false),
    ];
    line.advance();
    // Whoever has tried a target may find no room where a fresh request does; not the other way.
    assert.deepEqual(looked, ["tried one", "fresh"]);
    placed.add("fresh");
    looked.length = 0;
    line.advance();
    assert.deepEqual(looked, ["tried one", "fresh", "fresh too"]);
    assert.equal(line.length, 3);
    waiters.forEach((waiter) => line.remove(waiter));
  });
});
