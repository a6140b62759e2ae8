/**
 * Tests of the attempts of one request that run at the same time, with attempts that the tests
 * settle. A title names the failure that the test guards against.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as proxy from "@hemlockwalk/proxy";

const REPEAT_MILLISECONDS = 100;

/** An attempt whose end the test decides. */
class FakeAttempt implements proxy.RunningAttempt {
  readonly result: Promise<proxy.CallResult>;
  isCancelled = false;
  isDiscarded = false;
  settle: (result: proxy.CallResult) => void = () => undefined;
  throw: (error: Error) => void = () => undefined;

  constructor() {
    this.result = new Promise((resolve, reject) => {
      this.settle = resolve;
      this.throw = reject;
    });
  }

  readonly cancel = (): void => {
    this.isCancelled = true;
    this.settle({ kind: "failed", reason: "cancelled" });
  };

  answer(status = 503): void {
    this.settle({
      kind: "answered",
      answer: {
        status,
        headers: [],
        chunks: [],
        rest: undefined,
        isWhole: () => true,
        discard: () => this.isDiscarded = true,
      },
    });
  }

  fail(): void {
    this.settle({ kind: "failed", reason: "reset" });
  }

  refuse(hasArrived = true): void {
    this.settle({ kind: "not_run", reason: hasArrived ? "shed" : "unreachable", hasArrived });
  }
}

/** A race whose further attempts are there while the test allows them. */
class Fixture {
  readonly attempts: FakeAttempt[] = [];
  readonly race: proxy.AttemptRace;
  allowed = 10;
  requests = 0;
  outcome = "running";

  constructor() {
    this.race = new proxy.AttemptRace({
      startFurther: () => {
        this.requests++;
        return this.allowed-- > 0 ? this.#create() : undefined;
      },
      getRepeatDelay: () => REPEAT_MILLISECONDS,
    });
    this.race.run(this.#create()).then(
      (result) => this.outcome = describe(result),
      (error: unknown) => this.outcome = String(error),
    );
  }

  get(index: number): FakeAttempt {
    return this.attempts[index] ?? assert.fail(`no attempt ${index}`);
  }

  #create(): FakeAttempt {
    const attempt = new FakeAttempt();
    this.attempts.push(attempt);
    return attempt;
  }
}

function describe(result: proxy.CallResult): string {
  switch (result.kind) {
    case "answered":
      return String(result.answer.status);
    case "refused_by_peer":
      return result.refusal.reason;
    case "failed":
    case "not_run":
      return result.reason;
  }
}

async function withRace(
  run: (fixture: Fixture, clock: kernelTesting.TestClock) => Promise<void>,
): Promise<void> {
  const clock = new kernelTesting.TestClock();
  try {
    await run(new Fixture(), clock);
  } finally {
    clock.restore();
  }
}

test.describe("a race of attempts", () => {
  test.it("gives an attempt up because a further one begins, or cannot begin", async () => {
    for (const allowed of [0, 1]) {
      await withRace(async (fixture, clock) => {
        fixture.allowed = allowed;
        fixture.race.requestFurther();
        await clock.advance(50);
        assert.equal(fixture.attempts.length, 1 + allowed);
        assert.equal(fixture.get(0).isCancelled, false);
        fixture.get(0).answer(200);
        await clock.flush();
        assert.equal(fixture.outcome, "200");
      });
    }
  });

  test.it("does not ask again for a further attempt, or asks after the request has ended", async () => {
    await withRace(async (fixture, clock) => {
      fixture.allowed = 0;
      fixture.race.requestFurther();
      await clock.advance(REPEAT_MILLISECONDS * 3 + 50);
      assert.equal(fixture.requests, 4);
      fixture.allowed = 1;
      await clock.advance(REPEAT_MILLISECONDS);
      assert.equal(fixture.attempts.length, 2);
      await clock.advance(REPEAT_MILLISECONDS * 3);
      assert.equal(fixture.requests, 5, "the further attempt is given its time");
      fixture.get(1).answer(200);
      await clock.advance(REPEAT_MILLISECONDS * 3);
      fixture.race.requestFurther();
      assert.equal(fixture.requests, 5);
      assert.equal(fixture.get(0).isCancelled, true);
    });
  });

  test.it("ends with a failure while another attempt runs", async () => {
    for (const end of ["answer", "fail", "refuse"] as const) {
      for (const failing of [0, 1]) {
        await withRace(async (fixture, clock) => {
          fixture.allowed = 1;
          fixture.race.requestFurther();
          fixture.get(failing)[end]();
          await clock.advance(REPEAT_MILLISECONDS * 2);
          assert.equal(fixture.outcome, "running");
          fixture.get(1 - failing).answer(200);
          await clock.flush();
          assert.equal(fixture.outcome, "200");
          assert.equal(fixture.get(failing).isDiscarded, end === "answer");
        });
      }
    }
  });

  test.it("leaves a failed attempt without a successor while another one is slow", async () => {
    await withRace(async (fixture, clock) => {
      fixture.race.requestFurther();
      fixture.get(1).refuse();
      await clock.flush();
      assert.equal(fixture.attempts.length, 3);
      fixture.get(2).answer(200);
      await clock.flush();
      assert.equal(fixture.outcome, "200");
      assert.equal(fixture.get(0).isCancelled, true);
    });
  });

  test.it("returns less than is known, or keeps a response that is not returned", async () => {
    const ends = {
      answer: (attempt: FakeAttempt) => attempt.answer(500),
      fail: (attempt: FakeAttempt) => attempt.fail(),
      refuse: (attempt: FakeAttempt) => attempt.refuse(),
    };
    for (
      const [first, second, outcome] of [
        ["answer", "fail", "500"],
        ["fail", "answer", "500"],
        ["refuse", "fail", "reset"],
        ["fail", "refuse", "reset"],
        ["refuse", "answer", "500"],
      ] as const
    ) {
      await withRace(async (fixture, clock) => {
        fixture.allowed = 1;
        fixture.race.requestFurther();
        ends[first](fixture.get(0));
        await clock.flush();
        ends[second](fixture.get(1));
        await clock.flush();
        assert.equal(fixture.outcome, outcome);
        assert.ok(fixture.attempts.every(({ isDiscarded }) => !isDiscarded));
      });
    }
    await withRace(async (fixture, clock) => {
      fixture.allowed = 1;
      fixture.race.requestFurther();
      fixture.get(0).answer(500);
      await clock.flush();
      fixture.get(1).answer(503);
      await clock.flush();
      assert.deepEqual([fixture.outcome, fixture.get(0).isDiscarded], ["503", true]);
    });
  });

  test.it("returns two responses, or leaves one undiscarded, if both come at once", async () => {
    await withRace(async (fixture, clock) => {
      fixture.race.requestFurther();
      fixture.get(1).answer(200);
      fixture.get(0).answer(201);
      await clock.flush();
      assert.equal(fixture.outcome, "200");
      assert.deepEqual(fixture.attempts.map(({ isDiscarded }) => isDiscarded), [true, false]);
    });
  });

  test.it("returns a failure twice that was taken for the caller", async () => {
    await withRace(async (fixture, clock) => {
      fixture.allowed = 1;
      fixture.race.requestFurther();
      fixture.get(1).answer(500);
      await clock.flush();
      assert.equal(describe(fixture.race.takeHeld() ?? assert.fail()), "500");
      assert.equal(fixture.race.takeHeld(), undefined);
      fixture.get(0).cancel();
      await clock.flush();
      assert.equal(fixture.outcome, "cancelled");
    });
  });

  test.it("hangs, or leaves attempts running, after an unexpected error", async () => {
    await withRace(async (fixture, clock) => {
      fixture.race.requestFurther();
      fixture.get(0).throw(new Error("unexpected"));
      await clock.flush();
      assert.equal(fixture.outcome, "Error: unexpected");
      assert.equal(fixture.get(1).isCancelled, true);
    });
  });
});

test.describe("a count of attempts", () => {
  test.it("counts a target that has not received the request, or makes the next one pay again", () => {
    const count = new proxy.AttemptCount();
    assert.equal(count.takeUnspent(), false);
    count.begin();
    count.end(0);
    count.addUnspent();
    assert.deepEqual([count.used, count.received], [0, 0]);
    assert.equal(count.takeUnspent(), true);
    assert.equal(count.takeUnspent(), false);
  });

  test.it("allows more attempts at one time than the route has", () => {
    const count = new proxy.AttemptCount();
    count.begin();
    count.begin();
    assert.deepEqual([count.used, count.received], [2, 0]);
    count.end(1);
    assert.deepEqual([count.used, count.received], [2, 1]);
    count.end(0);
    assert.deepEqual([count.used, count.received], [1, 1]);
    count.begin(2);
    assert.deepEqual([count.used, count.received], [3, 1]);
    count.end(2, 2);
    assert.deepEqual([count.used, count.received], [3, 3]);
  });
});

test.test("a further attempt is started although the request may not have one", () => {
  const allowed: proxy.FurtherSituation = {
    isBuffered: true,
    isQuarantined: false,
    attemptsLeft: 1,
    leftMilliseconds: 100,
    meanProcessingMilliseconds: 100,
  };
  assert.equal(proxy.findFurtherObstacle(allowed), undefined);
  const cases: [Partial<proxy.FurtherSituation>, proxy.FurtherObstacle][] = [
    [{ isBuffered: false }, "not_buffered"],
    [{ isQuarantined: true }, "quarantined"],
    [{ attemptsLeft: 0 }, "attempts_used"],
    [{ leftMilliseconds: 50 }, "no_time"],
  ];
  for (const [change, obstacle] of cases) {
    assert.equal(proxy.findFurtherObstacle({ ...allowed, ...change }), obstacle);
  }
});

test.test("a slow request takes the last retries again and again", () => {
  assert.equal(proxy.mayTakeRetry(false, 0.01), true);
  assert.equal(proxy.mayTakeRetry(true, 0.2), false);
  assert.equal(proxy.mayTakeRetry(true, 0.5), true);
});
