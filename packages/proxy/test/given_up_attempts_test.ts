/**
 * Guards against attempts that are given up while their target is at work, of requests that may be
 * repeated, with and without a stop of the VM. A title names the failure that the test guards
 * against.
 */

import * as assert from "node:assert/strict";
import type * as http from "node:http";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as harness from "./harness.ts";

const ATTEMPTS = 3;
const TIMEOUT_MILLISECONDS = 10_000;

/** Requests from which the VM learns how long the route's requests usually take. */
const WARM_UP_REQUESTS = 30;

/** Far longer than the route's requests usually take. */
const WORK_MILLISECONDS = 1_200;

/** Requests at the same time, which want more retries than there are. */
const BURST = 120;

/** Time for which a target works before it fails. */
const FAILS_AFTER_MILLISECONDS = 300;

const DECLARED = harness.createDeclarations(1, {
  routes: [
    harness.createRoute({
      id: model.createRouteId("reads"),
      pathPrefix: "/reads/",
      isIdempotent: true,
      attempts: ATTEMPTS,
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
    }),
    harness.createRoute({ attempts: ATTEMPTS, timeoutMilliseconds: TIMEOUT_MILLISECONDS }),
  ],
});

const answerSlowly: harness.Behaviour = (request, response) => {
  setTimeout(() => harness.answerSuccess(request, response), WORK_MILLISECONDS);
};

const refuseLate: harness.Behaviour = (request, response) => {
  setTimeout(() => {
    const id = request.headers[harness.PROFILE.requestId];
    response.writeHead(503, {
      [harness.PROFILE.requestId]: id,
      [harness.PROFILE.notRun]: "1",
    }).end();
  }, FAILS_AFTER_MILLISECONDS);
};

const failLate: harness.Behaviour = (request, response) => {
  setTimeout(() => {
    response.writeHead(500, harness.createAnswerHeaders(request)).end("no");
  }, FAILS_AFTER_MILLISECONDS);
};

const resetLate: harness.Behaviour = (request) => {
  setTimeout(() => request.socket.resetAndDestroy(), FAILS_AFTER_MILLISECONDS);
};

/** A request under test and what targets saw of it. */
class SlowRequest {
  readonly vm: harness.TestVm;
  /** Targets in the order in which they received the request. */
  readonly arrivals: model.TargetId[] = [];
  /** Targets whose connection ended before they had answered. */
  readonly brokenOff: model.TargetId[] = [];
  readonly #startedAt = kernel.getMonotonicMilliseconds();

  /** @param behaviours How the targets respond, in the order in which the request arrives. */
  constructor(vm: harness.TestVm, ...behaviours: harness.Behaviour[]) {
    this.vm = vm;
    for (const target of vm.targets) {
      target.behaviour = (request, response, body) => {
        const behaviour = behaviours[this.arrivals.length] ?? behaviours.at(-1);
        this.arrivals.push(target.id);
        this.#watch(target.id, request, response);
        behaviour?.(request, response, body);
      };
    }
  }

  get elapsed(): number {
    return kernel.getMonotonicMilliseconds() - this.#startedAt;
  }

  call(request: harness.CallerRequest = {}): Promise<harness.CallerAnswer> {
    const deadline = String(TIMEOUT_MILLISECONDS);
    return this.vm.call({
      method: "GET",
      path: "/reads/1",
      ...request,
      headers: {
        [harness.PROFILE.requestId]: "slow",
        [harness.PROFILE.deadline]: deadline,
        ...request.headers,
      },
    });
  }

  /** Waits until so many targets have received the request. */
  async waitForArrivals(count: number): Promise<void> {
    await harness.waitFor(() => this.arrivals.length >= count, `${count} targets have it`);
  }

  /** Checks that the response is whole, and that no target got more than its part. */
  assertServed(answer: harness.CallerAnswer): void {
    assert.deepEqual([answer.status, answer.isComplete, answer.body], [200, true, "done"]);
    assert.ok(this.arrivals.length <= ATTEMPTS, this.arrivals.join());
    assert.equal(new Set(this.arrivals).size, this.arrivals.length, "one attempt at each target");
  }

  #watch(
    target: model.TargetId,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const onClose = () => {
      if (!response.writableEnded) {
        this.brokenOff.push(target);
      }
    };
    request.socket.once("close", onClose);
    response.once("finish", () => request.socket.off("close", onClose));
  }
}

/** Runs a test on a VM that knows the usual time of the route. */
async function withTargets(
  count: number,
  run: (vm: harness.TestVm) => Promise<void>,
): Promise<void> {
  await harness.withVm(count, async (vm) => {
    for (let request = 0; request < WARM_UP_REQUESTS; request++) {
      assert.equal((await vm.call({ method: "GET", path: "/reads/1" })).status, 200);
    }
    await run(vm);
  }, DECLARED);
}

test.describe("a request that may be repeated", { concurrency: 3 }, () => {
  test.it("is given up at its only target, which is slow", async () => {
    await withTargets(1, async (vm) => {
      const slow = new SlowRequest(vm, answerSlowly);
      slow.assertServed(await slow.call());
      assert.equal(slow.arrivals.length, 1);
    });
  });

  test.it("is given up at the first of two slow targets, whose response comes first", async () => {
    await withTargets(2, async (vm) => {
      const slow = new SlowRequest(vm, answerSlowly);
      slow.assertServed(await slow.call());
      const other = WORK_MILLISECONDS * 1.5;
      assert.ok(slow.elapsed < other, `the first response was not returned: ${slow.elapsed} ms`);
      assert.equal(slow.arrivals.length, 2, "a slow target does not keep the request to itself");
    });
  });

  test.it("waits for a slow target although another one would respond at once", async () => {
    await withTargets(2, async (vm) => {
      const slow = new SlowRequest(vm, answerSlowly, harness.answerSuccess);
      slow.assertServed(await slow.call());
      assert.ok(slow.elapsed < WORK_MILLISECONDS, `${slow.elapsed} ms`);
      await harness.waitFor(() => slow.brokenOff.length === 1, "the first attempt is cancelled");
      assert.equal(slow.arrivals.length, 2);
    });
  });

  for (
    const [what, behaviour] of [
      ["refuses it as not run", refuseLate],
      ["fails", failLate],
      ["resets its connection", resetLate],
    ] as const
  ) {
    for (const isStopping of [false, true]) {
      const when = isStopping ? "in a VM that stops" : "at any time";
      test.it(`is given up at a target at work, since the second one ${what}, ${when}`, async () => {
        await withTargets(2, async (vm) => {
          const slow = new SlowRequest(vm, answerSlowly, behaviour);
          const answer = slow.call();
          await slow.waitForArrivals(2);
          const stopped = isStopping ? vm.stop() : Promise.resolve();
          slow.assertServed(await answer);
          assert.equal(slow.arrivals.length, 2);
          await stopped;
        });
      });
    }
  }

  test.it("is given up at a target that works for longer than its VM takes to stop", async () => {
    await withTargets(1, async (vm) => {
      const behaviour: harness.Behaviour = (request, response) => {
        setTimeout(() => harness.answerSuccess(request, response), 3_000);
      };
      const slow = new SlowRequest(vm, behaviour);
      const answer = slow.call();
      await kernel.sleep(100);
      const stopped = vm.stop();
      slow.assertServed(await answer);
      await stopped;
    });
  });

  test.it("is sent to more targets than its route allows, or ends before its deadline", async () => {
    await withTargets(5, async (vm) => {
      const slow = new SlowRequest(vm, () => undefined);
      const answer = await slow.call({ headers: { [harness.PROFILE.deadline]: "1500" } });
      assert.equal(answer.status, 504);
      assert.ok(slow.elapsed > 1_450, `ended after ${slow.elapsed} ms`);
      assert.equal(slow.arrivals.length, ATTEMPTS);
      await harness.waitFor(() => slow.brokenOff.length === ATTEMPTS, "all attempts have ended");
    });
  });

  for (const isStopping of [false, true]) {
    const when = isStopping ? "at the cut-off of a stop" : "at its deadline";
    test.it(`loses the error of its second target to the VM's own, ${when}`, async () => {
      await withTargets(2, async (vm) => {
        const slow = new SlowRequest(vm, () => undefined, failLate);
        const deadline = isStopping ? TIMEOUT_MILLISECONDS : 1_500;
        const answer = slow.call({ headers: { [harness.PROFILE.deadline]: String(deadline) } });
        await slow.waitForArrivals(2);
        const stopped = isStopping ? vm.stop() : Promise.resolve();
        const { status, body } = await answer;
        assert.deepEqual([status, body], [500, "no"]);
        assert.ok(slow.elapsed > 1_450, `the first attempt was given up: ${slow.elapsed} ms`);
        await harness.waitFor(() => slow.brokenOff.length === 1, "the first attempt has ended");
        await stopped;
      });
    });
  }

  test.it("is given up, or repeated beyond the budget, when no retry is left", async () => {
    await withTargets(3, async (vm) => {
      for (const target of vm.targets) {
        vm.store.put(target.createChange(vm.store.revision + 1, { slots: 2 * BURST }));
      }
      await kernel.sleep(500);
      const ids: string[] = [];
      for (const target of vm.targets) {
        target.behaviour = (request, response) => {
          ids.push(String(request.headers[harness.PROFILE.requestId]));
          answerSlowly(request, response, "");
        };
      }
      const answers = await Promise.all(
        Array.from({ length: BURST }, (_, index) =>
          vm.call({
            method: "GET",
            path: "/reads/1",
            headers: {
              [harness.PROFILE.requestId]: `burst-${index}`,
              [harness.PROFILE.deadline]: String(TIMEOUT_MILLISECONDS),
            },
          })),
      );
      assert.deepEqual(answers.filter(({ status }) => status !== 200), []);
      const { retryRatio, retrySlack } = harness.BOUNDS;
      const allowed = retrySlack + retryRatio * (BURST + WARM_UP_REQUESTS);
      const repeated = ids.length - new Set(ids).size;
      assert.ok(repeated > 0, "the budget has some");
      assert.ok(repeated <= allowed, `${repeated} retries, ${allowed} allowed`);
    });
  });

  test.it("stays at its targets after its caller has left", async () => {
    await withTargets(3, async (vm) => {
      const slow = new SlowRequest(vm, () => undefined);
      const caller = new AbortController();
      const answer = slow.call({ signal: caller.signal });
      await slow.waitForArrivals(2);
      caller.abort();
      await answer;
      const arrived = slow.arrivals.length;
      await harness.waitFor(() => slow.brokenOff.length === arrived, "all have ended", 500);
      await kernel.sleep(500);
      assert.equal(slow.arrivals.length, arrived, "nothing more is sent");
    });
  });
});

test.test("a further attempt begins in a VM that stops before it would end", async () => {
  const declared = harness.createDeclarations(1, {
    routes: [harness.createRoute({
      isIdempotent: true,
      attempts: ATTEMPTS,
      // No time is left for it when a target counts as silent.
      objectiveMilliseconds: harness.BOUNDS.graceMilliseconds,
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
    })],
  });
  await harness.withVm(2, async (vm) => {
    for (let request = 0; request < WARM_UP_REQUESTS; request++) {
      assert.equal((await vm.call()).status, 200);
    }
    const slow = new SlowRequest(vm, (request, response) => {
      setTimeout(() => harness.answerSuccess(request, response), 2 * WORK_MILLISECONDS);
    });
    const answer = slow.call({ method: "POST", path: "/bookings/1" });
    await slow.waitForArrivals(1);
    const stopped = vm.stop();
    slow.assertServed(await answer);
    assert.equal(slow.arrivals.length, 1);
    await stopped;
  }, declared);
});

test.test("a request that must not run twice stays at a hanging target after its time", async () => {
  await withTargets(1, async (vm) => {
    const slow = new SlowRequest(vm, () => undefined);
    const headers = { [harness.PROFILE.deadline]: "400" };
    const answer = await slow.call({ method: "POST", path: "/bookings/1", headers });
    assert.equal(answer.status, 504);
    await harness.waitFor(() => slow.brokenOff.length === 1, "its connection has ended", 500);
  });
});

test.test("a request that must not run twice is sent to a second target", async () => {
  await withTargets(3, async (vm) => {
    const slow = new SlowRequest(vm, answerSlowly);
    const answer = await slow.call({ method: "POST", path: "/bookings/1" });
    slow.assertServed(answer);
    assert.equal(slow.arrivals.length, 1);
  });
});
