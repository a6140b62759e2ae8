/**
 * Tests of the decision on second attempts, over plain values and simulated load. A title states
 * the rule, or the failure that the test guards against.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as model from "@hemlockwalk/model";
import * as placement from "@hemlockwalk/placement";
import * as fc from "fast-check";
import * as randoms from "./random.ts";

const TIMING: placement.HedgeTiming = {
  quantileMilliseconds: 400,
  meanProcessingMilliseconds: 150,
  objectiveMilliseconds: 1_000,
  availableMilliseconds: 5_000,
  failureProbability: 0.05,
};

const SITUATION: placement.HedgeSituation = {
  isPassedOn: false,
  isBuffered: true,
  attemptsLeft: 2,
  isStopping: false,
  isQuarantined: false,
  haveTargetsEnded: false,
  leftMilliseconds: 2_000,
  meanProcessingMilliseconds: 150,
  waitingRequests: 0,
  hasTarget: true,
  retryLevel: 1,
  isWithinShare: true,
};

const REQUEST: placement.PlacementRequest = {
  mayRetry: false,
  objectiveMilliseconds: 1_000,
  meanProcessingMilliseconds: 150,
  allowedOverflow: 0,
};

function createCandidate(
  id: string,
  changes: Partial<placement.Candidate> = {},
): placement.Candidate {
  return {
    id: model.createTargetId(id),
    slots: 4,
    load: 0,
    failureProbability: 0.02,
    sinceLastOutcomeMilliseconds: 100,
    evidenceAgeMilliseconds: 100,
    relativeProcessingTime: 1,
    isUnreachable: false,
    isRemote: false,
    warmUpMilliseconds: 0,
    ...changes,
  };
}

test.describe("time of a second attempt", () => {
  test.it("is the route's quantile, not a fixed delay", () => {
    assert.equal(placement.getHedgeDelay(TIMING), 400);
    assert.equal(placement.getHedgeDelay({ ...TIMING, quantileMilliseconds: 700 }), 700);
  });

  test.it("follows from mean and objective while the quantile is not known", () => {
    const unknown = { ...TIMING, quantileMilliseconds: undefined };
    assert.equal(placement.getHedgeDelay(unknown), 450);
    assert.equal(placement.getHedgeDelay({ ...unknown, objectiveMilliseconds: 400 }), 400);
    // An objective below the usual time would hedge nearly every request.
    assert.equal(placement.getHedgeDelay({ ...unknown, objectiveMilliseconds: 50 }), 300);
  });

  test.it("is earlier at a target that is probably failing, but not before a usual response", () => {
    assert.equal(placement.getHedgeDelay({ ...TIMING, failureProbability: 0.6 }), 150);
  });

  test.it("leaves the second target a usual processing time before the deadline", () => {
    assert.equal(placement.getHedgeDelay({ ...TIMING, availableMilliseconds: 500 }), 350);
  });

  test.it("is not brought forward to a deadline that leaves no time for two attempts", () => {
    assert.equal(placement.getHedgeDelay({ ...TIMING, availableMilliseconds: 250 }), 400);
  });

  test.it("is never before one usual processing time has passed, whatever is drawn", () => {
    const times = fc.double({ min: 1, max: 10_000, noNaN: true });
    fc.assert(
      fc.property(
        fc.record({
          quantileMilliseconds: fc.option(times, { nil: undefined }),
          meanProcessingMilliseconds: times,
          objectiveMilliseconds: times,
          availableMilliseconds: times,
          failureProbability: fc.double({ min: 0, max: 1, noNaN: true }),
        }),
        (timing) => {
          const delay = placement.getHedgeDelay(timing);
          assert.ok(delay >= timing.meanProcessingMilliseconds);
          assert.ok(placement.getEarliestHedgeDelay(timing) <= delay, "it is checked before");
        },
      ),
      { seed: 511, numRuns: 2_000 },
    );
  });
});

test.describe("quantiles of processing times", () => {
  test.it("are unknown until there are enough calls", () => {
    const quantiles = new placement.ProcessingQuantiles();
    for (let call = 0; call < 31; call++) {
      quantiles.record("reads", call);
    }
    assert.equal(quantiles.get("reads", 0.95), undefined);
    quantiles.record("reads", 31);
    assert.equal(quantiles.get("reads", 0.95), 30);
  });

  test.it("forget a slow period once enough calls have followed", () => {
    const quantiles = new placement.ProcessingQuantiles();
    for (let call = 0; call < 600; call++) {
      quantiles.record("reads", call < 300 ? 5_000 : 100);
    }
    assert.equal(quantiles.get("reads", 0.95), 100);
  });

  test.it("do not fall hedge by hedge because cancelled calls have no processing time", () => {
    const random = randoms.createRandom(3);
    const quantiles = new placement.ProcessingQuantiles();
    let delay = Number.POSITIVE_INFINITY;
    const delays: number[] = [];
    for (let call = 0; call < 6_000; call++) {
      const milliseconds = -100 * Math.log(1 - random());
      if (milliseconds > delay) {
        quantiles.recordAtLeast("reads", delay + 20, 0.95);
      } else {
        quantiles.record("reads", milliseconds);
      }
      delay = quantiles.get("reads", 0.95) ?? delay;
      delays.push(delay);
    }
    // The 95th percentile is 300. Without the cancelled calls the delay falls below 100.
    const late = delays.slice(3_000).sort((left, right) => left - right);
    const median = late[1_500] ?? 0;
    assert.ok(median > 240 && median < 400, `the median delay is ${median}`);
  });

  test.it("of more routes than fit are dropped, so that the memory stays bounded", () => {
    const quantiles = new placement.ProcessingQuantiles();
    for (let route = 0; route < 3_000; route++) {
      for (let call = 0; call < 32; call++) {
        quantiles.record(`route-${route}`, 10);
      }
    }
    assert.equal(quantiles.get("route-0", 0.95), undefined);
    assert.equal(quantiles.get("route-2999", 0.95), 10);
  });
});

test.describe("a second attempt that is due", () => {
  test.it("is made if nothing speaks against it", () => {
    assert.equal(placement.findHedgeObstacle(SITUATION), undefined);
  });

  const cases: Record<placement.HedgeObstacle, Partial<placement.HedgeSituation>> = {
    passed_on: { isPassedOn: true },
    not_buffered: { isBuffered: false },
    attempts_used: { attemptsLeft: 0 },
    stopping: { isStopping: true },
    quarantined: { isQuarantined: true },
    targets_ended: { haveTargetsEnded: true },
    no_time: { leftMilliseconds: 149 },
    requests_wait: { waitingRequests: 1 },
    no_free_slot: { hasTarget: false },
    retries_low: { retryLevel: 0.49 },
    share_used: { isWithinShare: false },
  };
  for (const [obstacle, changes] of Object.entries(cases)) {
    test.it(`is made in spite of ${obstacle}`, () => {
      assert.equal(placement.findHedgeObstacle({ ...SITUATION, ...changes }), obstacle);
    });
  }
});

test.describe("target of a second attempt", () => {
  test.it("is not one without a free slot, failing, unknown to be reachable or absent", () => {
    const candidates = [
      createCandidate("full", { load: 4 }),
      createCandidate("failing", { failureProbability: 0.6 }),
      createCandidate("unreachable", { isUnreachable: true }),
      createCandidate("none", { slots: 0 }),
    ];
    assert.equal(placement.chooseHedgeTarget(candidates, REQUEST), undefined);
    const chosen = placement.chooseHedgeTarget([...candidates, createCandidate("good")], REQUEST);
    assert.equal(chosen?.id, "good");
  });

  test.it("is not a slow one while a usual one is free", () => {
    const candidates = [
      createCandidate("slow", { relativeProcessingTime: 6 }),
      createCandidate("usual", { load: 2 }),
    ];
    const chosen = placement.chooseHedgeTarget(candidates, REQUEST, () => 0.9);
    assert.equal(chosen?.id, "usual");
  });
});

test.describe("share of extra attempts", () => {
  test.it("is not available at the start and does not accumulate beyond two attempts", () => {
    const allowance = new placement.HedgeAllowance();
    assert.equal(allowance.take(), false);
    for (let request = 0; request < 1_000; request++) {
      allowance.accrue(0.1);
    }
    assert.deepEqual([allowance.take(), allowance.take(), allowance.take()], [true, true, false]);
  });

  test.it("is exceeded in some history of a fleet that is parted, restarted or changes its share", () => {
    const event = fc.oneof(
      { weight: 8, arbitrary: fc.record({ kind: fc.constant("request" as const), vm: fc.nat(9) }) },
      { weight: 8, arbitrary: fc.record({ kind: fc.constant("due" as const), vm: fc.nat(9) }) },
      { weight: 1, arbitrary: fc.record({ kind: fc.constant("restart" as const), vm: fc.nat(9) }) },
      { weight: 1, arbitrary: fc.record({ kind: fc.constant("parted" as const), vm: fc.nat(9) }) },
    );
    fc.assert(
      fc.property(
        fc.double({ min: 0.001, max: 0.2, noNaN: true }),
        fc.array(event, { maxLength: 600 }),
        (share, events) => {
          // No VM reads anything of another, so a parted fleet differs only in who gets requests.
          const vms = Array.from({ length: 10 }, () => new placement.HedgeAllowance());
          let requests = 0;
          let attempts = 0;
          let firstReachable = 0;
          const counts = { burst: vms.map(() => 0) };
          for (const { kind, vm } of events) {
            const index = Math.max(vm, firstReachable);
            if (kind === "request") {
              requests++;
              vms[index]?.accrue(share);
              counts.burst[index] = 0;
            } else if (kind === "due") {
              const isTaken = vms[index]?.take() === true;
              attempts += isTaken ? 1 : 0;
              counts.burst[index] = (counts.burst[index] ?? 0) + (isTaken ? 1 : 0);
              assert.ok((counts.burst[index] ?? 0) <= 2, "more than two at once");
            } else if (kind === "restart") {
              vms[index] = new placement.HedgeAllowance();
            } else {
              firstReachable = vm;
            }
            assert.ok(attempts <= requests * share + 1e-6, `${attempts} for ${requests}`);
          }
        },
      ),
      { seed: 517, numRuns: 500 },
    );
  });
});

/** A service under load, as one VM sees it; times in milliseconds. */
interface World {
  readonly seed: number;
  readonly targets: number;
  readonly slots: number;
  readonly requestsPerSecond: number;
  readonly share: number;
  /** Processing time of a call at a target; infinite if there is no response. */
  readonly process: (target: number, random: () => number) => number;
}

interface WorldResult {
  readonly requests: number;
  readonly hedges: number;
  readonly withheld: ReadonlyMap<string, number>;
  /** Sorted. */
  readonly latencies: readonly number[];
}

const TIMEOUT = 4_000;
const SECONDS = 120;

/** Simulates one service with the decisions of this module, in steps of a millisecond. */
function simulate(world: World): WorldResult {
  const random = randoms.createRandom(world.seed);
  const loads = Array.from({ length: world.targets }, () => 0);
  const allowance = new placement.HedgeAllowance();
  const quantiles = new placement.ProcessingQuantiles();
  const times = new placement.ProcessingTimes();
  const quantile = placement.getHedgeQuantile(world.share);
  const withheld = new Map<string, number>();
  const latencies: number[] = [];
  let requests = 0;
  let hedges = 0;
  let waiting: number[] = [];
  interface Call {
    readonly arrivedAt: number;
    readonly first: number;
    readonly firstStartedAt: number;
    readonly firstEndsAt: number;
    /** Time from its start to the next decision on a second attempt; undefined: by the delay. */
    decidedAgainAfter: number | undefined;
    second: number | undefined;
    secondEndsAt: number;
  }
  let running: Call[] = [];
  const listFree = (except: number | undefined) =>
    loads.flatMap((load, index) =>
      index !== except && load < world.slots
        ? [createCandidate(String(index), { slots: world.slots, load })]
        : []
    );
  const choose = (except: number | undefined) => {
    const chosen = placement.chooseHedgeTarget(listFree(except), REQUEST, random);
    return chosen === undefined ? undefined : Number(chosen.id);
  };
  const start = (target: number, now: number) => {
    loads[target] = (loads[target] ?? 0) + 1;
    return now + world.process(target, random);
  };
  const end = (target: number) => loads[target] = (loads[target] ?? 0) - 1;
  for (let now = 0; now < SECONDS * 1_000; now++) {
    if (random() < world.requestsPerSecond / 1_000) {
      requests++;
      allowance.accrue(world.share);
      waiting.push(now);
    }
    waiting = waiting.filter((arrivedAt) => {
      if (now - arrivedAt > 500) {
        return false;
      }
      const first = choose(undefined);
      if (first === undefined) {
        return true;
      }
      running.push({
        arrivedAt,
        first,
        firstStartedAt: now,
        firstEndsAt: start(first, now),
        decidedAgainAfter: undefined,
        second: undefined,
        secondEndsAt: Number.POSITIVE_INFINITY,
      });
      return false;
    });
    running = running.filter((call) => {
      const isOver = now >= Math.min(call.firstEndsAt, call.secondEndsAt) ||
        now - call.arrivedAt >= TIMEOUT;
      if (isOver) {
        latencies.push(now - call.arrivedAt);
        end(call.first);
        if (call.second !== undefined) {
          end(call.second);
        }
        const elapsed = now - call.firstStartedAt;
        if (now >= call.firstEndsAt) {
          quantiles.record("reads", elapsed);
          times.record("reads", String(call.first), elapsed, 1_000);
        } else {
          quantiles.recordAtLeast("reads", elapsed, quantile);
        }
        return false;
      }
      const mean = times.getRouteMean("reads", 1_000);
      const available = call.arrivedAt + TIMEOUT - call.firstStartedAt;
      const delay = placement.getHedgeDelay({
        quantileMilliseconds: quantiles.get("reads", quantile),
        meanProcessingMilliseconds: mean,
        objectiveMilliseconds: 1_000,
        availableMilliseconds: available,
        failureProbability: 0.05,
      });
      const elapsed = now - call.firstStartedAt;
      if (world.share > 0 && elapsed >= (call.decidedAgainAfter ?? delay)) {
        call.decidedAgainAfter = Number.POSITIVE_INFINITY;
        const second = choose(call.first);
        const obstacle = placement.findHedgeObstacle({
          ...SITUATION,
          leftMilliseconds: call.arrivedAt + TIMEOUT - now,
          meanProcessingMilliseconds: mean,
          waitingRequests: waiting.length,
          hasTarget: second !== undefined,
          isWithinShare: allowance.isAvailable,
        });
        if (obstacle !== undefined || second === undefined) {
          const reason = obstacle ?? "";
          withheld.set(reason, (withheld.get(reason) ?? 0) + 1);
          if (obstacle !== undefined && placement.mayHedgeLater(obstacle)) {
            call.decidedAgainAfter = elapsed + mean;
          }
        } else {
          assert.ok(allowance.take());
          hedges++;
          call.second = second;
          call.secondEndsAt = start(second, now);
        }
      }
      return true;
    });
  }
  latencies.sort((left, right) => left - right);
  return { requests, hedges, withheld, latencies };
}

function getQuantile(latencies: readonly number[], quantile: number): number {
  return latencies[Math.floor(quantile * latencies.length)] ?? Number.NaN;
}

function drawUsual(random: () => number): number {
  return 60 + 60 * random();
}

test.describe("hedging under load", () => {
  test.it("leaves the 99th percentile as high as it is where 1% of calls take 10 times as long", () => {
    const world: World = {
      seed: 11,
      targets: 20,
      slots: 4,
      requestsPerSecond: 100,
      share: 0.05,
      process: (_, random) => drawUsual(random) * (random() < 0.015 ? 10 : 1),
    };
    const plain = simulate({ ...world, share: 0 });
    const hedged = simulate(world);
    const before = getQuantile(plain.latencies, 0.99);
    const after = getQuantile(hedged.latencies, 0.99);
    assert.ok(before > 600, `without hedging it is ${before}`);
    assert.ok(after < before / 2, `${before} before, ${after} after`);
    assert.ok(hedged.hedges <= hedged.requests * world.share);
  });

  test.it("leaves callers waiting for a target that never responds", () => {
    const world: World = {
      seed: 12,
      targets: 20,
      slots: 4,
      requestsPerSecond: 60,
      share: 0.1,
      process: (target, random) =>
        target === 0 && random() < 0.67 ? Number.POSITIVE_INFINITY : drawUsual(random),
    };
    const countLost = ({ latencies }: WorldResult) =>
      latencies.filter((latency) => latency >= TIMEOUT).length;
    const plain = countLost(simulate({ ...world, share: 0 }));
    const hedged = simulate(world);
    assert.ok(plain > 20, `without hedging ${plain} time out`);
    assert.ok(countLost(hedged) <= plain / 10, `${plain} before, ${countLost(hedged)} after`);
    assert.ok(hedged.hedges <= hedged.requests * world.share);
  });

  test.it("takes slots of a service that is short of them", () => {
    const { hedges, withheld } = simulate({
      seed: 13,
      targets: 4,
      slots: 2,
      requestsPerSecond: 120,
      share: 0.2,
      process: (_, random) => drawUsual(random) * (random() < 0.05 ? 10 : 1),
    });
    assert.equal(hedges, 0);
    const short = (withheld.get("requests_wait") ?? 0) + (withheld.get("no_free_slot") ?? 0);
    assert.ok(short > 20, `${short} are withheld for want of room`);
  });
});
