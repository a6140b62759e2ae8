/**
 * Tests of the race between two attempts of a request, with attempts that the tests settle. A title
 * names the failure that the test guards against.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as model from "@hemlockwalk/model";
import * as placement from "@hemlockwalk/placement";
import * as proxy from "@hemlockwalk/proxy";

const FIRST = model.createTargetId("first");
const SECOND = model.createTargetId("second");
const SERVICE = model.createServiceId("desk");
const ROUTE = model.createRouteId("reads");
const OBJECTIVE = 1_000;

/** Time of the second attempt: the route's quantile is unknown and its mean is the initial one. */
const MEAN = new placement.ProcessingTimes().getRouteMean(ROUTE, OBJECTIVE);
const DELAY = placement.getHedgeDelay({
  quantileMilliseconds: undefined,
  meanProcessingMilliseconds: MEAN,
  objectiveMilliseconds: OBJECTIVE,
  availableMilliseconds: 10_000,
  failureProbability: 0.05,
});

/** An attempt whose end the test decides. */
class FakeAttempt {
  readonly target: model.TargetId;
  readonly signal: AbortSignal;
  readonly result: Promise<proxy.CallResult>;
  settle: (result: proxy.CallResult) => void = () => undefined;
  isCancelled = false;
  isDiscarded = false;

  constructor(target: model.TargetId, controller: AbortController) {
    this.target = target;
    this.signal = controller.signal;
    this.result = new Promise((resolve) => this.settle = resolve);
    // Settles at once when cancelled, as a call does.
    controller.signal.addEventListener("abort", () => {
      this.isCancelled = true;
      this.settle({ kind: "failed", reason: "cancelled" });
    });
  }

  answer(status: number): void {
    this.settle({
      kind: "answered",
      answer: {
        status,
        headers: [],
        chunks: [Buffer.from(this.target)],
        rest: undefined,
        isWhole: () => true,
        discard: () => this.isDiscarded = true,
      },
    });
  }

  fail(): void {
    this.settle({ kind: "failed", reason: "reset" });
  }

  shed(): void {
    this.settle({ kind: "not_run", reason: "shed", hasArrived: true });
  }
}

/** One request that may be hedged, on a VM whose state the test sets. */
class Fixture {
  readonly attempts: FakeAttempt[] = [];
  readonly events: string[] = [];
  readonly steps: { step: string; reason?: unknown }[] = [];
  readonly processingTimes = new placement.ProcessingTimes();
  readonly quantiles = new placement.ProcessingQuantiles();
  readonly tried = new Set<model.TargetId>();
  situation: proxy.RequestSituation = {
    isPassedOn: false,
    isBuffered: true,
    attemptsLeft: 2,
    isQuarantined: false,
    haveTargetsEnded: false,
  };
  failureProbability = 0.05;
  retryLevel = 1;
  hasRetry = true;
  /** Aborted when another attempt of the request has a response. */
  readonly outlasted = new AbortController();
  isStopping = false;
  waiting = 0;
  left = 10_000;
  isWithinShare = true;
  retriesTaken = 0;
  ended: proxy.CallResult | undefined;
  readonly #clock: kernelTesting.TestClock;

  constructor(clock: kernelTesting.TestClock) {
    this.#clock = clock;
  }

  start(): void {
    const now = kernel.getMonotonicMilliseconds();
    const context = {
      tracker: {
        processingTimes: this.processingTimes,
        getFailureProbability: () => this.failureProbability,
        listCandidates: () =>
          [FIRST, SECOND].filter((id) => !this.tried.has(id)).map((id) => ({
            id,
            slots: 2,
            load: 0,
            failureProbability: 0.02,
            sinceLastOutcomeMilliseconds: 0,
            evidenceAgeMilliseconds: 0,
            relativeProcessingTime: 1,
            isUnreachable: false,
            isRemote: false,
            warmUpMilliseconds: 0,
          })),
        takeRate: (target: model.TargetId) => {
          this.events.push(`rate ${target}`);
        },
      },
      budgets: {
        getRetryLevel: () => this.retryLevel,
        takeRetry: () => {
          this.retriesTaken += this.hasRetry ? 1 : 0;
          return this.hasRetry;
        },
      },
      queues: { get: () => ({ length: this.waiting }) },
      hedges: {
        quantiles: this.quantiles,
        getShare: () => 0.05,
        isWithinShare: () => this.isWithinShare,
        take: () => this.isWithinShare,
        count: (event: string) => this.events.push(event),
        countWithheld: (reason: string) => this.events.push(`withheld ${reason}`),
      },
      stop: { isStopping: this.isStopping },
    };
    const options = {
      context,
      trace: { add: (step: string, inputs: object) => this.steps.push({ step, ...inputs }) },
      accepted: {
        service: SERVICE,
        route: { id: ROUTE, isIdempotent: true, objectiveMilliseconds: OBJECTIVE, attempts: 3 },
        endsAt: now + this.left,
      },
      tried: this.tried,
      getSituation: () => this.situation,
      signal: this.outlasted.signal,
      call: ({ target }: proxy.PlacedTarget, controller: AbortController) => {
        this.tried.add(target);
        const attempt = new FakeAttempt(target, controller);
        this.attempts.push(attempt);
        return attempt.result;
      },
    };
    void proxy.callHedged(options as unknown as proxy.HedgedCallOptions, {
      target: FIRST,
      rateToken: undefined,
    }).then((result) => this.ended = result);
  }

  async advance(milliseconds: number): Promise<void> {
    await this.#clock.advance(milliseconds);
  }

  get first(): FakeAttempt {
    return this.attempts[0] ?? assert.fail("no first attempt");
  }

  get second(): FakeAttempt {
    return this.attempts[1] ?? assert.fail("no second attempt");
  }

  /** The target whose response was returned, or how the call ended otherwise. */
  get outcome(): string {
    if (this.ended?.kind === "answered") {
      return `${this.ended.answer.chunks.join("")} ${this.ended.answer.status}`;
    }
    return this.ended === undefined
      ? "running"
      : this.ended.kind === "refused_by_peer"
      ? this.ended.kind
      : `${this.ended.kind} ${this.ended.reason}`;
  }
}

async function withFixture(
  run: (fixture: Fixture) => Promise<void>,
  prepare: (fixture: Fixture) => void = () => undefined,
): Promise<void> {
  const clock = new kernelTesting.TestClock();
  try {
    const fixture = new Fixture(clock);
    prepare(fixture);
    fixture.start();
    await run(fixture);
  } finally {
    clock.restore();
  }
}

/** Runs until both attempts are under way. */
async function withBoth(run: (fixture: Fixture) => Promise<void>): Promise<void> {
  await withFixture(async (fixture) => {
    await fixture.advance(DELAY - 5);
    assert.equal(fixture.attempts.length, 1, "the second attempt is not made early");
    await fixture.advance(20);
    assert.equal(fixture.attempts.length, 2);
    assert.equal(fixture.second.target, SECOND);
    assert.deepEqual(fixture.events, [`rate ${SECOND}`, "sent"]);
    assert.equal(fixture.retriesTaken, 1);
    await run(fixture);
  });
}

test.describe("a hedged call", () => {
  test.it("makes a second attempt although the first has ended in time", async () => {
    for (const end of ["answer", "fail", "shed"] as const) {
      await withFixture(async (fixture) => {
        await fixture.advance(DELAY - 10);
        fixture.first[end](200);
        await fixture.advance(DELAY);
        assert.equal(fixture.attempts.length, 1);
        assert.deepEqual(fixture.events, []);
        assert.notEqual(fixture.outcome, "running");
      });
    }
  });

  test.it("does not return the first response, or leaves the other attempt running", async () => {
    await withBoth(async (fixture) => {
      fixture.second.answer(200);
      await fixture.advance(1);
      assert.equal(fixture.outcome, "second 200");
      assert.ok(fixture.first.isCancelled && !fixture.second.isCancelled);
      assert.deepEqual(fixture.events.slice(2), ["won", "cancelled"]);
    });
    await withBoth(async (fixture) => {
      fixture.first.answer(404);
      await fixture.advance(1);
      assert.equal(fixture.outcome, "first 404");
      assert.ok(fixture.second.isCancelled && !fixture.first.isCancelled);
      assert.deepEqual(fixture.events.slice(2), ["cancelled"]);
    });
  });

  test.it("returns two responses, or keeps one that is not returned, if both come at once", async () => {
    await withBoth(async (fixture) => {
      fixture.second.answer(200);
      fixture.first.answer(200);
      await fixture.advance(1);
      assert.equal(fixture.outcome, "second 200");
      assert.ok(fixture.first.isDiscarded && !fixture.second.isDiscarded);
      assert.deepEqual(fixture.events.slice(2), ["won"]);
    });
  });

  test.it("returns an error while the other attempt still runs", async () => {
    for (const end of ["answer", "fail", "shed"] as const) {
      await withBoth(async (fixture) => {
        fixture.first[end](500);
        await fixture.advance(1);
        assert.equal(fixture.outcome, "running");
        fixture.second.answer(200);
        await fixture.advance(1);
        assert.equal(fixture.outcome, "second 200");
        assert.equal(fixture.first.isDiscarded, end === "answer");
      });
      await withBoth(async (fixture) => {
        fixture.second[end](503);
        await fixture.advance(1);
        assert.equal(fixture.outcome, "running");
        fixture.first.answer(200);
        await fixture.advance(1);
        assert.equal(fixture.outcome, "first 200");
        assert.equal(fixture.second.isDiscarded, end === "answer");
      });
    }
  });

  test.it("returns the first failure of two, in either order", async () => {
    for (const isFirstEarlier of [true, false]) {
      await withBoth(async (fixture) => {
        const { first, second } = fixture;
        const ends = [() => first.answer(500), () => second.fail()];
        for (const end of isFirstEarlier ? ends : ends.reverse()) {
          end();
          await fixture.advance(1);
        }
        assert.equal(fixture.outcome, "failed reset");
        assert.ok(first.isDiscarded);
        assert.ok(!first.isCancelled && !second.isCancelled);
      });
    }
  });

  test.it("turns a failure that may have run into a rejection, because the second target shed it", async () => {
    await withBoth(async (fixture) => {
      fixture.second.shed();
      await fixture.advance(1);
      fixture.first.fail();
      await fixture.advance(1);
      assert.equal(fixture.outcome, "failed reset");
    });
  });

  test.it("stays at its targets after another attempt of the request has a response", async () => {
    await withBoth(async (fixture) => {
      fixture.outlasted.abort("outlasted");
      await fixture.advance(1);
      assert.ok(fixture.first.isCancelled && fixture.second.isCancelled);
      assert.equal(fixture.outcome, "failed cancelled");
    });
  });

  test.it("starts a second attempt for a caller that has left, or stays after it", async () => {
    const leave = (fixture: Fixture) =>
      fixture.attempts.forEach((attempt) => {
        attempt.settle({ kind: "failed", reason: "cancelled" });
      });
    await withFixture(async (fixture) => {
      await fixture.advance(DELAY - 10);
      leave(fixture);
      await fixture.advance(DELAY);
      assert.equal(fixture.attempts.length, 1);
      assert.equal(fixture.outcome, "failed cancelled");
    });
    await withBoth(async (fixture) => {
      leave(fixture);
      await fixture.advance(1);
      assert.equal(fixture.outcome, "failed cancelled");
      assert.deepEqual(fixture.events.slice(2), [], "neither attempt has won or lost");
    });
  });

  test.it("is started too late for the deadline", async () => {
    await withFixture(async (fixture) => {
      await fixture.advance(MEAN + 50);
      assert.equal(fixture.attempts.length, 2, "it is made while there is time for it");
    }, (fixture) => fixture.left = 2 * MEAN + 20);
    await withFixture(async (fixture) => {
      await fixture.advance(DELAY + 20);
      assert.equal(fixture.attempts.length, 1);
      assert.deepEqual(fixture.events, ["withheld no_time"]);
    }, (fixture) => fixture.left = Math.min(2 * MEAN - 20, DELAY + MEAN - 20));
  });

  test.it("waits as long at a target that turns out to be failing as at a healthy one", async () => {
    await withFixture(async (fixture) => {
      fixture.failureProbability = 0.9;
      await fixture.advance(MEAN + 20);
      assert.equal(fixture.attempts.length, 2);
    });
  });

  const withheld: Record<string, (fixture: Fixture) => void> = {
    passed_on: (fixture) => fixture.situation = { ...fixture.situation, isPassedOn: true },
    not_buffered: (fixture) => fixture.situation = { ...fixture.situation, isBuffered: false },
    attempts_used: (fixture) => fixture.situation = { ...fixture.situation, attemptsLeft: 0 },
    quarantined: (fixture) => fixture.situation = { ...fixture.situation, isQuarantined: true },
    targets_ended: (fixture) =>
      fixture.situation = { ...fixture.situation, haveTargetsEnded: true },
    stopping: (fixture) => fixture.isStopping = true,
    requests_wait: (fixture) => fixture.waiting = 1,
    no_free_slot: (fixture) => fixture.tried.add(SECOND),
    retries_low: (fixture) => fixture.retryLevel = 0.4,
    share_used: (fixture) => fixture.isWithinShare = false,
  };
  for (const [reason, prepare] of Object.entries(withheld)) {
    test.it(`is made in spite of ${reason}, or takes a retry for nothing`, async () => {
      await withFixture(async (fixture) => {
        await fixture.advance(DELAY + 20);
        assert.equal(fixture.attempts.length, 1);
        assert.deepEqual(fixture.events, [`withheld ${reason}`]);
        assert.deepEqual(fixture.steps.map(({ step }) => step), ["hedge_withheld"]);
        assert.equal(fixture.retriesTaken, 0);
        fixture.first.answer(200);
        await fixture.advance(1);
        assert.equal(fixture.outcome, "first 200");
      }, prepare);
    });
  }

  test.it("is made although the other VMs have taken the last retry meanwhile", async () => {
    await withFixture(async (fixture) => {
      await fixture.advance(DELAY + 20);
      assert.deepEqual(fixture.events, ["withheld retries_low"]);
    }, (fixture) => fixture.hasRetry = false);
  });

  test.it("is never made to a call that hangs, because the share was used up when it was due", async () => {
    await withFixture(async (fixture) => {
      await fixture.advance(DELAY + 20);
      fixture.isWithinShare = true;
      await fixture.advance(MEAN - 30);
      assert.equal(fixture.attempts.length, 1, "it is not looked at all the time");
      await fixture.advance(50);
      assert.equal(fixture.attempts.length, 2);
      assert.deepEqual(fixture.events, ["withheld share_used", `rate ${SECOND}`, "sent"]);
    }, (fixture) => fixture.isWithinShare = false);
  });

  test.it("is looked at again and again while the service is short of room", async () => {
    await withFixture(async (fixture) => {
      await fixture.advance(DELAY + 20);
      fixture.waiting = 0;
      await fixture.advance(3 * MEAN);
      assert.equal(fixture.attempts.length, 1);
      assert.deepEqual(fixture.events, ["withheld requests_wait"]);
    }, (fixture) => fixture.waiting = 1);
  });

  test.it("leaves no evidence of slowness at the target that it was cancelled at", async () => {
    await withBoth(async (fixture) => {
      fixture.second.answer(200);
      await fixture.advance(1);
      assert.ok(fixture.processingTimes.getRelativeTime(FIRST) > 1);
      assert.equal(fixture.processingTimes.getRelativeTime(SECOND), 1);
    });
  });
});
