/**
 * Tests of the health estimate, the choice of a target and the request queue.
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
    failureProbability: 0.02,
    sinceLastOutcomeMilliseconds: 0,
    evidenceAgeMilliseconds: changes.sinceLastOutcomeMilliseconds ?? 0,
    relativeProcessingTime: 1,
    isUnreachable: false,
    isRemote: false,
    warmUpMilliseconds: 0,
    ...changes,
  };
}

const WRITE: placement.PlacementRequest = {
  mayRetry: false,
  objectiveMilliseconds: 500,
  meanProcessingMilliseconds: 200,
  allowedOverflow: 1,
};

const READ: placement.PlacementRequest = { ...WRITE, mayRetry: true };

function choose(
  candidates: readonly placement.Candidate[],
  request: placement.PlacementRequest,
  random = () => 0.6,
): string {
  const choice = placement.chooseTarget(candidates, request, random);
  return choice.kind === "chosen" ? choice.candidate.id : choice.kind;
}

test.describe("health estimate", () => {
  test.test("one error makes a target suspected, and one success makes it recover", async () => {
    const clock = new testing.TestClock();
    try {
      const estimate = new placement.HealthEstimate();
      estimate.recordOutcome("success", clock.monotonicMilliseconds);
      assert.ok(
        estimate.failureProbability < 0.1,
        `after a success: ${estimate.failureProbability}`,
      );
      await clock.advance(300);
      estimate.recordOutcome("error", clock.monotonicMilliseconds);
      assert.ok(
        estimate.failureProbability > 0.6,
        `after an error: ${estimate.failureProbability}`,
      );
      await clock.advance(300);
      estimate.recordOutcome("success", clock.monotonicMilliseconds);
      assert.ok(
        estimate.failureProbability < 0.4,
        `after the next success: ${estimate.failureProbability}`,
      );
    } finally {
      clock.restore();
    }
  });

  test.test("a success of a call that began before a failure is no evidence of recovery", async () => {
    const clock = new testing.TestClock();
    try {
      const estimate = new placement.HealthEstimate();
      const longCallAt = clock.monotonicMilliseconds;
      await clock.advance(200);
      estimate.recordOutcome("error", clock.monotonicMilliseconds);
      await clock.advance(100);
      estimate.recordOutcome("success", longCallAt);
      assert.ok(
        estimate.failureProbability > 0.7,
        `after a late success: ${estimate.failureProbability}`,
      );
    } finally {
      clock.restore();
    }
  });

  test.test("a call that outlasts the time of errors is evidence of a healthy target", async () => {
    const clock = new testing.TestClock();
    try {
      const estimate = new placement.HealthEstimate();
      estimate.recordOutcome("error", clock.monotonicMilliseconds);
      await clock.advance(1_000);
      const before = estimate.failureProbability;
      estimate.recordOutcome("survived", clock.monotonicMilliseconds - 60);
      assert.ok(
        estimate.failureProbability < before / 1.5,
        `${before} to ${estimate.failureProbability}`,
      );
    } finally {
      clock.restore();
    }
  });

  test.test("the end of a long call is no evidence of the present state", async () => {
    const clock = new testing.TestClock();
    try {
      const estimate = new placement.HealthEstimate();
      const startedAt = clock.monotonicMilliseconds;
      await clock.advance(60);
      estimate.recordOutcome("survived", startedAt);
      await clock.advance(2_000, 500);
      estimate.recordOutcome("success", startedAt);
      assert.equal(estimate.evidenceAt, startedAt);
    } finally {
      clock.restore();
    }
  });

  test.test("without outcomes an estimate drifts back within a few failure periods", async () => {
    const clock = new testing.TestClock();
    try {
      const stationary = new placement.HealthEstimate().failureProbability;
      const estimate = new placement.HealthEstimate();
      estimate.recordOutcome("error", clock.monotonicMilliseconds, 3);
      await clock.advance(15_000, 500);
      assert.ok(Math.abs(estimate.failureProbability - stationary) < 0.01);
    } finally {
      clock.restore();
    }
  });

  test.test("a single lost response does not make a healthy target suspected", () => {
    const estimate = new placement.HealthEstimate();
    estimate.recordOutcome("success", performance.now(), 5);
    estimate.recordOutcome("broken", performance.now());
    assert.ok(
      estimate.failureProbability < 0.5,
      `after a lost response: ${estimate.failureProbability}`,
    );
  });
});

test.describe("choice of a target", () => {
  test.test("a request that may not be retried goes to the target with recent successes", () => {
    const suspected = createCandidate("suspected", { failureProbability: 0.4 });
    const busyButHealthy = createCandidate("well", { load: 3 });
    assert.equal(choose([suspected, busyButHealthy], WRITE), "well");
  });

  test.test("a retryable request probes a suspected target that no other request probes", () => {
    const suspected = createCandidate("suspected", {
      failureProbability: 0.4,
      sinceLastOutcomeMilliseconds: 900,
    });
    const healthy = createCandidate("well");
    assert.equal(choose([suspected, healthy], READ, () => 0.1), "suspected");
    const probed = { ...suspected, load: 1 };
    assert.equal(choose([probed, healthy], READ, () => 0.1), "well");
    const busyForLong = { ...probed, evidenceAgeMilliseconds: 1_300 };
    assert.equal(choose([busyForLong, healthy], READ, () => 0.1), "suspected");
  });

  test.test("a fleet without any evidence probes most targets within two seconds", () => {
    // 62 retryable requests a second over 70 targets; the other VMs know of a choice after 300 ms.
    const random = randoms.createRandom(7);
    const chosenAt = new Map<string, number>();
    const targets = Array.from({ length: 70 }, (_, index) => `target-${index}`);
    for (let request = 0; request < 124; request++) {
      const at = request * 1_000 / 62;
      const candidates = targets.map((id) => {
        const first = chosenAt.get(id);
        const isKnown = first !== undefined && first + 300 <= at;
        return createCandidate(id, {
          failureProbability: isKnown ? 0.08 : 0.28,
          sinceLastOutcomeMilliseconds: isKnown ? at - first : Number.POSITIVE_INFINITY,
        });
      });
      const id = choose(candidates, READ, random);
      chosenAt.set(id, chosenAt.get(id) ?? at);
    }
    assert.ok(chosenAt.size >= 0.5 * targets.length, `${chosenAt.size} were probed`);
  });

  test.test("a service that gets few requests, none retryable, still uses most of its targets", () => {
    // Ten requests a second over six healthy targets; one target could serve all of them.
    const random = randoms.createRandom(3);
    const lastOutcomeAt = new Map<string, number>();
    const chosenAt: { id: string; at: number }[] = [];
    const targets = Array.from({ length: 6 }, (_, index) => `target-${index}`);
    for (let at = 0; at < 20_000; at += 100) {
      const candidates = targets.map((id) => {
        const sinceLastOutcomeMilliseconds = at -
          (lastOutcomeAt.get(id) ?? Number.NEGATIVE_INFINITY);
        const drift = Math.exp(-sinceLastOutcomeMilliseconds / 1_950);
        return createCandidate(id, {
          failureProbability: 0.28 * (1 - drift),
          sinceLastOutcomeMilliseconds,
        });
      });
      const id = choose(candidates, WRITE, random);
      lastOutcomeAt.set(id, at);
      chosenAt.push({ id, at });
    }
    for (let from = 2_000; from <= 18_000; from += 500) {
      const used = new Set(
        chosenAt.filter(({ at }) => at >= from && at <= from + 2_000).map(({ id }) => id),
      );
      assert.ok(used.size >= 0.7 * targets.length, `${used.size} targets from ${from} on`);
    }
  });

  test.test("few retryable requests probe each of seven targets without recent outcomes in time", () => {
    // Seven requests a second; the other VMs know of a choice after 300 ms.
    const random = randoms.createRandom(11);
    const chosenAt = new Map<string, number>();
    let passedOver = 0;
    for (let request = 0; request < 700; request++) {
      const at = request * 1_000 / 7;
      const candidates = Array.from({ length: 7 }, (_, index) => {
        const id = `target-${index}`;
        const last = chosenAt.get(id) ?? Number.NEGATIVE_INFINITY;
        const sinceLastOutcomeMilliseconds = last + 300 <= at ? at - last : 2_000;
        passedOver += last + 2_500 < at && last > 0 ? 1 : 0;
        return createCandidate(id, { failureProbability: 0.28, sinceLastOutcomeMilliseconds });
      });
      chosenAt.set(choose(candidates, READ, random), at);
    }
    assert.ok(passedOver < 0.02 * 7 * 700, `${passedOver} times without a request for 2.5 s`);
  });

  test.test("targets that are busy with long calls are probed like others", () => {
    // Twenty reads a second, of one to three seconds each, over 14 targets; known 150 ms later.
    const random = randoms.createRandom(5);
    const calls: { readonly id: string; readonly at: number; readonly endsAt: number }[] = [];
    const targets = Array.from({ length: 14 }, (_, index) => `target-${index}`);
    for (let at = 0; at < 20_000; at += 50) {
      const received = calls.filter((call) => call.at <= at - 150);
      const candidates = targets.map((id) => {
        const known = received.filter((call) => call.id === id);
        const evidenceAgeMilliseconds = Math.min(...known.map((call) => at - call.at));
        return createCandidate(id, {
          slots: 12,
          load: known.filter((call) => call.endsAt > at - 150).length,
          failureProbability: 0.28 * (1 - Math.exp(-evidenceAgeMilliseconds / 1_950)),
          sinceLastOutcomeMilliseconds: Math.min(
            ...known.map((call) =>
              at - 150 - (call.endsAt <= at - 150 ? call.endsAt : call.at + 60)
            ),
          ),
          evidenceAgeMilliseconds,
        });
      });
      // Requests that do not probe go to the targets of their own data centre, the first four.
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

  test.test("a request that may not be retried does not probe a target that has failed", () => {
    const failed = createCandidate("failed", {
      failureProbability: 0.6,
      sinceLastOutcomeMilliseconds: 5_000,
    });
    const unknown = createCandidate("unknown", {
      failureProbability: 0.28,
      sinceLastOutcomeMilliseconds: 5_000,
    });
    assert.equal(choose([failed, createCandidate("well")], WRITE, () => 0.1), "well");
    assert.equal(choose([unknown, createCandidate("well")], WRITE, () => 0.1), "unknown");
  });

  test.test("a full target gets no request", () => {
    assert.equal(choose([createCandidate("full", { load: 5 })], WRITE), "full");
    assert.equal(choose([], WRITE), "none");
  });

  test.test("load is spread before slots run out", () => {
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

  test.test("a sample that holds a target twice or favours some would narrow the choice", () => {
    const candidates = Array.from(
      { length: 70 },
      (_, index) => createCandidate(`target-${index}`, { isRemote: index % 2 === 0 }),
    );
    for (let seed = 0; seed < 500; seed++) {
      const random = randoms.createRandom(seed * 7_919);
      const draws: number[] = [];
      const choice = placement.chooseTarget(candidates, WRITE, () => {
        const draw = random();
        draws.push(draw);
        return draw;
      });
      const take = () => draws.shift() ?? assert.fail("more draws than were made");
      if (take() < 0.5) {
        // Two draws for a target to probe, of which there is none.
        draws.splice(0, 2);
      }
      // The same draws, each of which takes a target out of a list. Local targets cost least.
      const sample = [false, true].flatMap((isRemote) => {
        const left = candidates.filter((candidate) => candidate.isRemote === isRemote);
        return Array.from({ length: 12 }, () => left.splice(Math.floor(take() * left.length), 1))
          .flat();
      });
      const noises = sample.map(() => take());
      const localNoises = noises.slice(0, 12);
      const expected = sample[localNoises.indexOf(Math.min(...localNoises))];
      assert.ok(choice.kind === "chosen");
      assert.equal(choice.candidate.id, expected?.id);
      assert.equal(draws.length, 0);
    }
  });

  test.test("a target that this VM cannot reach is chosen last", () => {
    const unreachable = createCandidate("unreachable", { isUnreachable: true });
    const failing = createCandidate("failing", { failureProbability: 0.9 });
    assert.equal(choose([unreachable, failing], WRITE), "failing");
    assert.equal(choose([unreachable], WRITE), "unreachable");
  });
});

test.describe("request queue", () => {
  test.test("the highest priority is placed first, and requests that wait too long time out", async () => {
    const clock = new testing.TestClock();
    try {
      const queue = new placement.RequestQueue();
      const events: string[] = [];
      let room = 0;
      const add = (name: string, priority: number, waitUntil: number) =>
        queue.add({
          priority,
          acceptsAnyTarget: true,
          waitUntil,
          tryPlace: () => {
            if (room === 0) {
              return false;
            }
            room--;
            events.push(`${name} placed`);
            return true;
          },
          onTimeout: () => events.push(`${name} timed out`),
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
      assert.deepEqual(events, ["late timed out", "write placed", "read placed"]);
      assert.equal(queue.length, 0);
    } finally {
      clock.restore();
    }
  });

  test.test("a workspace that sends ten times its usual load takes the room of the others", () => {
    const queue = new placement.RequestQueue();
    const placed: string[] = [];
    let room = 0;
    const add = (workspace: string, priority = 1) =>
      queue.add({
        priority,
        workspace,
        acceptsAnyTarget: true,
        waitUntil: Number.POSITIVE_INFINITY,
        tryPlace: () => {
          if (room === 0) {
            return false;
          }
          room--;
          placed.push(`${workspace} ${priority}`);
          return true;
        },
        onTimeout: () => assert.fail("the request has no time limit"),
      });
    const advance = (slots: number) => {
      room = slots;
      queue.advance();
      return placed.splice(0);
    };
    Array.from({ length: 10 }, () => add("busy"));
    add("quiet");
    assert.deepEqual(advance(3), ["busy 1", "quiet 1", "busy 1"], "they take turns");
    add("quiet");
    add("third");
    const next = advance(4);
    const count = (name: string) => next.filter((entry) => entry === `${name} 1`).length;
    assert.deepEqual([count("quiet"), count("third")], [1, 1], "no turn is lost by arriving late");
    add("busy", 0);
    add("quiet");
    assert.deepEqual(advance(2), ["busy 0", "quiet 1"], "priority goes before turns");
    advance(10);
    assert.equal(queue.length, 0);
  });

  test.test("a quiet workspace is told to wait behind all requests of a busy one", () => {
    const queue = new placement.RequestQueue();
    for (let index = 0; index < 10; index++) {
      queue.add({
        priority: 1,
        workspace: "busy",
        acceptsAnyTarget: true,
        waitUntil: Number.POSITIVE_INFINITY,
        tryPlace: () => true,
        onTimeout: () => assert.fail("the request has no time limit"),
      });
    }
    assert.equal(queue.countAhead(1, "quiet"), 1);
    assert.equal(queue.countAhead(1, "busy"), 10);
    assert.equal(queue.countAhead(0, "busy"), 0);
    queue.advance();
  });

  test.test("a request whose time is over is refused although a slot is free", () => {
    const queue = new placement.RequestQueue();
    const events: string[] = [];
    queue.add({
      priority: 1,
      acceptsAnyTarget: true,
      waitUntil: 0,
      tryPlace: () => events.push("placed") > 0,
      onTimeout: () => events.push("timed out"),
    });
    queue.advance();
    assert.deepEqual(events, ["placed"]);
  });

  test.test("a refused request is told to return long before or after there is room for it", async () => {
    const clock = new testing.TestClock();
    try {
      const queue = new placement.RequestQueue();
      let room = 0;
      const add = (priority: number) =>
        queue.add({
          priority,
          acceptsAnyTarget: true,
          waitUntil: Number.POSITIVE_INFINITY,
          tryPlace: () => room-- > 0,
          onTimeout: () => assert.fail("the request has no time limit"),
        });
      Array.from({ length: 30 }, () => add(2));
      assert.equal(queue.estimateWait(2), undefined, "nothing is known of the pace yet");
      for (let slot = 0; slot < 10; slot++) {
        await clock.advance(100);
        room = 1;
        queue.advance();
        room = 0;
      }
      // A slot became free every 100 ms, and 20 requests wait.
      const wait = queue.estimateWait(2) ?? 0;
      assert.ok(Math.abs(wait - 2_100) <= 210, `${wait} ms for the 21st request`);
      assert.ok((queue.estimateWait(0) ?? 0) <= 110, "a more urgent one is next");
      room = Number.POSITIVE_INFINITY;
      queue.advance();
      assert.equal(queue.length, 0);
    } finally {
      clock.restore();
    }
  });

  test.test("room is sought once for all requests that accept any target, and for each other one", () => {
    const queue = new placement.RequestQueue();
    const tried: string[] = [];
    const placed = new Set<string>();
    const add = (name: string, acceptsAnyTarget: boolean) => {
      const request: placement.QueuedRequest = {
        priority: 1,
        acceptsAnyTarget,
        waitUntil: Number.POSITIVE_INFINITY,
        tryPlace: () => {
          tried.push(name);
          return placed.has(name);
        },
        onTimeout: () => assert.fail("the request has no time limit"),
      };
      queue.add(request);
      return request;
    };
    const requests = [
      add("tried a target", false),
      add("new", true),
      add("also new", true),
      add("tried another target", false),
    ];
    queue.advance();
    // A request that has tried a target may find no room where a new one does, but not vice versa.
    assert.deepEqual(tried, ["tried a target", "new"]);
    placed.add("new");
    tried.length = 0;
    queue.advance();
    assert.deepEqual(tried, ["tried a target", "new", "also new"]);
    assert.equal(queue.length, 3);
    requests.forEach((request) => queue.remove(request));
  });
});

test.describe("cold targets whose rate is limited", () => {
  const COLD = { warmUpMilliseconds: 2_000, isColdRateLimited: true };
  /** No probes, and no noise. */
  const calmly = () => 0.99;

  test.test("they get nothing until every warm target is overloaded", () => {
    const cold = createCandidate("cold", COLD);
    const warm = (
      load: number,
    ) => [createCandidate("w1", { load }), createCandidate("w2", { load })];
    assert.equal(choose([cold, ...warm(1)], WRITE, calmly), "w1", "warm targets have free slots");
    assert.equal(choose([cold, ...warm(4)], WRITE, calmly), "cold");
    const unlimited = { ...cold, isColdRateLimited: false };
    assert.equal(choose([unlimited, ...warm(4)], WRITE, calmly), "w1", "as without a rate");
  });

  test.test("warm targets get more than their slots and the overflow because the cold ones take no more", () => {
    const warm = createCandidate("warm", { load: 5 });
    assert.equal(choose([warm], WRITE), "full");
    assert.equal(choose([warm, createCandidate("cold", COLD)], WRITE), "cold");
    const full = createCandidate("cold", { ...COLD, load: 5 });
    assert.equal(choose([warm, full], WRITE), "full");
  });
});
