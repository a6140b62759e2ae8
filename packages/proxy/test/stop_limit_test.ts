/**
 * Tests of what waits in a VM that is asked to stop, without a network. A title names the failure
 * that the test guards against.
 */

import * as assert from "node:assert/strict";
import * as events from "node:events";
import type * as http from "node:http";
import * as test from "node:test";
import * as declarations from "@hemlockwalk/declarations";
import * as fixtures from "@hemlockwalk/declarations/testing";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as model from "@hemlockwalk/model";
import * as placement from "@hemlockwalk/placement";
import * as fastCheck from "fast-check";
import type * as connections from "../src/caller_connection.ts";
import type * as contexts from "../src/request_context.ts";
import * as handlers from "../src/request_handler.ts";
import * as log from "../src/request_log.ts";
import * as placers from "../src/request_placer.ts";
import * as requestQueues from "../src/request_queues.ts";
import * as limits from "../src/stop_limit.ts";
import type * as types from "../src/types.ts";
import * as harness from "./harness.ts";

const TARGET = model.createTargetId("target");
const DESK = model.createServiceId("desk");
const CITY = model.createWorkspaceId("city");

const OBJECTIVE = 4_000;
const TIMEOUT = 30_000;

/** Time from the stop signal to the cut-off of running requests. */
const CUT_OFF_AFTER = 5_700;

/** Time from the stop signal to the close of the listener. */
const CLOSES_AFTER = 2_800;

/** How often queues are processed, plus a step of the clock. */
const PROMPTLY = 40;

/** A VM without a network whose targets the test sets. */
class TestWorld {
  readonly stop = { isStopping: false, isClosing: false, cutOffAt: Number.POSITIVE_INFINITY };
  readonly processingTimes = new placement.ProcessingTimes();
  /** Requests at the target, which has two slots; undefined if it accepts none for now. */
  load: number | undefined = 0;
  /** Time until the target accepts requests. */
  wait = { milliseconds: 0, isPause: true };
  readonly path = { isIsolated: false };
  /** What a workspace's rate answers. */
  rate: boolean | Promise<boolean> = true;
  ratesTaken = 0;
  passedOn = 0;
  readonly gate = {
    isOpen: true,
    open: () => {},
    wait: () => new Promise<void>((resolve) => this.gate.open = resolve),
  };
  readonly #clock: kernelTesting.TestClock;
  readonly context: contexts.RequestContext;

  constructor(clock: kernelTesting.TestClock, objectiveMilliseconds: number) {
    this.#clock = clock;
    const store = new declarations.DeclarationStore();
    store.apply(fixtures.createDeclarations(1, {
      routes: [fixtures.createRoute({
        objectiveMilliseconds,
        timeoutMilliseconds: TIMEOUT,
      })],
      workspaces: [{
        id: CITY,
        keys: ["secret"],
        priority: undefined,
        ratePerSecond: 10,
        burst: 1,
      }],
    }));
    this.context = {
      profile: harness.PROFILE,
      store,
      stop: this.stop,
      tracker: {
        processingTimes: this.processingTimes,
        listCandidates: () => this.load === undefined ? [] : [createCandidate(this.load)],
        findShortestWait: () => this.wait,
        findExclusion: () => undefined,
        findTarget: () => undefined,
        takeRate: () => undefined,
        returnRate: () => {},
        beginCall: () => this.load = (this.load ?? 0) + 1,
        endCall: () => this.load = (this.load ?? 0) - 1,
      },
      budgets: {
        takeRate: () => {
          this.ratesTaken++;
          return this.rate;
        },
        returnRate: () => this.ratesTaken--,
        countRequest: () => {},
        getRetryLevel: () => 1,
      },
      hedges: { countRequest: () => {} },
      log: { write: () => {} },
      crashes: { isIdle: true },
      queues: new requestQueues.RequestQueues(),
      counters: { requests: { inc: () => {} }, served: { inc: () => {} } },
      latency: { record: () => {} },
      getConfirmedAt: () => kernel.getMonotonicMilliseconds(),
      path: this.path,
      peers: {
        choose: () => {
          this.passedOn++;
          return undefined;
        },
      },
      startGate: this.gate,
    } as unknown as contexts.RequestContext;
  }

  /** Receives the stop signal. */
  terminate(): void {
    this.stop.isStopping = true;
    this.stop.cutOffAt = kernel.getMonotonicMilliseconds() + CUT_OFF_AFTER;
  }

  async advance(milliseconds: number): Promise<void> {
    await this.#clock.advance(milliseconds);
  }

  /** Places a request; the outcome is undefined while it waits. */
  place(changes: Partial<types.AcceptedRequest> = {}) {
    const placed = { outcome: undefined as string | undefined, at: Number.NaN };
    const placer = new placers.RequestPlacer(
      this.context,
      new log.RequestTrace(""),
      new Set(),
      new AbortController().signal,
    );
    void placer.place(createAccepted(changes)).then((placement) => {
      placed.at = kernel.getMonotonicMilliseconds();
      placed.outcome = placement.kind === "placed" ? "placed" : placement.reason;
    });
    return placed;
  }

  /** Accepts no connections any more. */
  close(): void {
    this.stop.isClosing = true;
  }

  /**
   * Handles a request of a caller; the response is undefined until it is sent.
   *
   * @param body Emits the body, if there is one.
   */
  handle(
    hasWaited = false,
    fieldsBeside: Record<string, string> = {},
    body = new events.EventEmitter(),
  ) {
    const sent: { status?: number; retryAfter?: number; body?: string } = {};
    const fields = { host: "desk.example", authorization: "Bearer secret", ...fieldsBeside };
    const request = Object.assign(body, {
      headers: fields,
      rawHeaders: Object.entries(fields).flat(),
      method: "POST",
      url: "/bookings/1",
      httpVersion: "1.1",
      resume: () => {},
    }) as unknown as http.IncomingMessage;
    const response = {
      writeHead: (status: number, head: readonly string[]) => {
        sent.status = status;
        sent.retryAfter = Number(head[head.indexOf("Retry-After") + 1]);
      },
      end: (body: string) => sent.body = body,
    } as unknown as http.ServerResponse;
    const connection = { decideEnd: () => true } as unknown as connections.CallerConnection;
    const handler = new handlers.RequestHandler(
      this.context,
      request,
      response,
      connection,
      false,
    );
    // A request that is sent to the target ends with an error, as there is none.
    handler.run(hasWaited).catch((error: unknown) => sent.body = String(error));
    return sent;
  }
}

function createCandidate(load: number): placement.Candidate {
  return {
    id: TARGET,
    slots: 2,
    load,
    failureProbability: 0.02,
    sinceLastOutcomeMilliseconds: 0,
    evidenceAgeMilliseconds: 0,
    relativeProcessingTime: 1,
    isUnreachable: false,
    isRemote: false,
    warmUpMilliseconds: 0,
  };
}

function createAccepted(changes: Partial<types.AcceptedRequest>): types.AcceptedRequest {
  const now = kernel.getMonotonicMilliseconds();
  return {
    id: "",
    route: fixtures.createRoute({ objectiveMilliseconds: OBJECTIVE }),
    workspace: undefined,
    service: DESK,
    priority: 1,
    homes: undefined,
    arrivedAt: now,
    endsAt: now + TIMEOUT,
    isLate: false,
    method: "POST",
    path: "/bookings/1",
    headers: [],
    ...changes,
  };
}

async function withWorld(
  run: (world: TestWorld) => Promise<void>,
  objectiveMilliseconds = OBJECTIVE,
): Promise<void> {
  const clock = new kernelTesting.TestClock();
  try {
    await run(new TestWorld(clock, objectiveMilliseconds));
  } finally {
    clock.restore();
  }
}

const FULL = 10;

/** The error of a request that is sent to the target. */
const NOT_A_TARGET = /A candidate is in the directory/;

function assertStopping(sent: ReturnType<TestWorld["handle"]>): void {
  assert.equal(sent.status, 503);
  assert.match(sent.body ?? "", /"stopping"/);
  assert.ok(
    sent.retryAfter !== undefined && sent.retryAfter <= 0.1,
    "another VM serves it at once",
  );
}

/** Time of SIGTERM in a random history. */
const STOPPED_AT = 3_000;

/** One request; times are in milliseconds from the beginning of the history. */
const HISTORY = fastCheck.record({
  objective: fastCheck.integer({ min: 50, max: 8_000 }),
  timeout: fastCheck.integer({ min: 50, max: 20_000 }),
  sentAt: fastCheck.integer({ min: 0, max: STOPPED_AT + CLOSES_AFTER + 500 }),
  /** How much longer the target pauses; undefined if its slots are in use. */
  wait: fastCheck.option(fastCheck.integer({ min: 1, max: 4_000 }), { nil: undefined }),
  isFreeAt: fastCheck.integer({ min: 0, max: STOPPED_AT + CUT_OFF_AFTER }),
});

/** Time after SIGTERM until which a request with the objective above may begin. */
const LATEST_BEGIN_AFTER = CUT_OFF_AFTER - OBJECTIVE;

test.describe("what waits in a VM that stops", () => {
  test.it("a request that waits for a slot at SIGTERM is dropped at the cut-off", async () => {
    await withWorld(async (world) => {
      world.load = FULL;
      const waiting = world.place();
      const tooLong = world.place({
        route: fixtures.createRoute({ objectiveMilliseconds: 8_000 }),
      });
      await world.advance(200);
      world.terminate();
      await world.advance(PROMPTLY);
      assert.deepEqual([waiting.outcome, tooLong.outcome], [undefined, "stopping"]);
      await world.advance(LATEST_BEGIN_AFTER - 2 * PROMPTLY);
      assert.equal(waiting.outcome, undefined, "it may still begin");
      await world.advance(2 * PROMPTLY);
      assert.equal(waiting.outcome, "stopping");
    });
  });

  test.it("a request that comes after SIGTERM waits for a slot until it is dropped", async () => {
    for (const after of [0, 1_000, LATEST_BEGIN_AFTER + 10, 2_400]) {
      await withWorld(async (world) => {
        world.load = FULL;
        world.terminate();
        await world.advance(after);
        const placed = world.place();
        await world.advance(Math.max(0, LATEST_BEGIN_AFTER - after) + PROMPTLY);
        assert.equal(placed.outcome, "stopping", `${after} ms after SIGTERM`);
      });
    }
  });

  test.it("a request gets a slot that becomes free when it cannot end any more", async () => {
    await withWorld(async (world) => {
      world.load = FULL;
      world.terminate();
      await world.advance(1_000);
      const placed = world.place();
      await world.advance(LATEST_BEGIN_AFTER - 1_000 - PROMPTLY);
      // The queue is not processed before the limit.
      world.stop.cutOffAt -= 2 * PROMPTLY;
      world.load = 0;
      world.context.queues.get(DESK).advance();
      await world.advance(PROMPTLY);
      assert.equal(placed.outcome, "stopping");
    });
  });

  test.it("a request waits for a pause or a rate that ends when it may not begin", async () => {
    for (const isPause of [true, false]) {
      await withWorld(async (world) => {
        world.load = undefined;
        world.terminate();
        await world.advance(1_000);
        world.wait = { milliseconds: 900, isPause };
        const tooLate = world.place();
        world.wait = { milliseconds: 300, isPause };
        const inTime = world.place();
        await world.advance(1);
        assert.deepEqual([tooLate.outcome, inTime.outcome], ["stopping", undefined]);
        world.wait = { milliseconds: 2_500, isPause };
        const hopeless = world.place();
        await world.advance(1);
        const reason = isPause ? "targets_paused" : "targets_limited";
        assert.equal(hopeless.outcome, reason, "another VM would refuse it too");
      });
    }
  });

  test.it("a request waits for the start, its turn or its rate and begins too late", async () => {
    await withWorld(async (world) => {
      world.gate.isOpen = false;
      const atStart = world.handle();
      world.terminate();
      await world.advance(LATEST_BEGIN_AFTER + 10);
      world.gate.isOpen = true;
      world.gate.open();
      await world.advance(1);
      assertStopping(atStart);
      const afterTurn = world.handle(true);
      await world.advance(1);
      assertStopping(afterTurn);
      assert.equal(world.ratesTaken, 0, "the rate is not charged");
    });
    await withWorld(async (world) => {
      let admit = (_isAdmitted: boolean) => {};
      world.rate = new Promise((resolve) => admit = resolve);
      const sent = world.handle();
      await world.advance(1);
      world.terminate();
      await world.advance(LATEST_BEGIN_AFTER + 10);
      admit(true);
      await world.advance(1);
      assertStopping(sent);
      assert.equal(world.ratesTaken, 0, "the rate is returned");
    });
  });

  test.it("a request that cannot end is passed on to another VM", async () => {
    await withWorld(async (world) => {
      world.path.isIsolated = true;
      world.load = FULL;
      world.handle();
      await world.advance(1);
      assert.equal(world.passedOn, 1);
      world.terminate();
      await world.advance(LATEST_BEGIN_AFTER + 10);
      const sent = world.handle();
      await world.advance(1);
      assert.equal(world.passedOn, 1);
      assertStopping(sent);
    });
  });

  test.it("a request that is read once the listener has closed begins and is cut off", async () => {
    const objective = 400;
    await withWorld(async (world) => {
      world.terminate();
      await world.advance(CLOSES_AFTER - 100);
      const taken = world.handle();
      await world.advance(1);
      assert.match(taken.body ?? "", NOT_A_TARGET, "it begins while connections are accepted");
      const body = new events.EventEmitter();
      const slow = world.handle(false, { "content-length": "10" }, body);
      await world.advance(200);
      world.close();
      const late = world.handle();
      body.emit("end");
      await world.advance(1);
      assertStopping(late);
      assertStopping(slow);
      const left = String(world.stop.cutOffAt - kernel.getMonotonicMilliseconds());
      const short = world.handle(false, { [harness.PROFILE.deadline]: left });
      await world.advance(1);
      assert.match(short.body ?? "", NOT_A_TARGET, "it has a response before the cut-off");
    }, objective);
  });

  test.it("a request that waited when the listener closed is refused needlessly", async () => {
    await withWorld(async (world) => {
      world.load = FULL;
      world.terminate();
      await world.advance(CLOSES_AFTER - 100);
      const placed = world.place({
        route: fixtures.createRoute({ objectiveMilliseconds: 1_000 }),
      });
      await world.advance(200);
      world.close();
      await world.advance(100);
      world.load = 0;
      await world.advance(PROMPTLY);
      assert.equal(placed.outcome, "placed");
    });
  });

  test.it("a VM that does not stop, or not before the response, waits otherwise", async () => {
    for (const isStopping of [false, true]) {
      await withWorld(async (world) => {
        world.load = FULL;
        const now = kernel.getMonotonicMilliseconds();
        const endsAt = isStopping ? now + CUT_OFF_AFTER : now + TIMEOUT;
        if (isStopping) {
          world.terminate();
        }
        const placed = world.place({ endsAt });
        await world.advance(OBJECTIVE / 2 - PROMPTLY);
        assert.equal(placed.outcome, undefined);
        await world.advance(2 * PROMPTLY);
        assert.equal(placed.outcome, "no_room");
        world.load = 0;
        const free = world.place({ endsAt });
        await world.advance(1);
        assert.equal(free.outcome, "placed");
      });
    }
  });
});

test.describe("random stops", () => {
  const runs = kernelTesting.getRandomRuns(54, 60);

  test.it("a request still waits at the cut-off, or begins too late", async () => {
    const outcomes = new Map<string, number>();
    await fastCheck.assert(
      fastCheck.asyncProperty(HISTORY, async (history) => {
        await withWorld(async (world) => {
          const { objective, timeout, sentAt, wait, isFreeAt } = history;
          world.load = wait === undefined ? FULL : undefined;
          world.wait = { milliseconds: wait ?? 0, isPause: true };
          const steps = [
            { at: STOPPED_AT, run: () => world.terminate() },
            { at: STOPPED_AT + CLOSES_AFTER, run: () => world.close() },
            { at: isFreeAt, run: () => world.load = 0 },
          ].filter(({ at }) => at > sentAt).sort((left, right) => left.at - right.at);
          let now = sentAt;
          if (sentAt >= STOPPED_AT) {
            world.terminate();
            world.stop.cutOffAt -= sentAt - STOPPED_AT;
          }
          const isLate = sentAt >= STOPPED_AT + CLOSES_AFTER;
          const endsAt = kernel.getMonotonicMilliseconds() + timeout;
          const route = fixtures.createRoute({ objectiveMilliseconds: objective });
          const placed = world.place({ route, endsAt, isLate });
          for (const { at, run } of steps) {
            await world.advance(at - now);
            run();
            now = at;
          }
          const { cutOffAt } = world.stop;
          await world.advance(Math.max(0, cutOffAt - kernel.getMonotonicMilliseconds()));
          const outcome = placed.outcome ?? "waits";
          outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
          assert.notEqual(outcome, "waits");
          if (outcome === "placed" && placed.at > cutOffAt - CUT_OFF_AFTER) {
            const isInTime = endsAt <= cutOffAt || (!isLate && placed.at + objective <= cutOffAt);
            assert.ok(isInTime, `it began ${cutOffAt - placed.at} ms before the cut-off`);
          }
        });
      }),
      runs,
    );
    for (const outcome of ["placed", "stopping", "no_room"]) {
      assert.ok((outcomes.get(outcome) ?? 0) > 0, `no request is ${outcome}`);
    }
  });
});

test.describe("the limit of a stop", () => {
  test.it("a route that has been slower than its objective gets too little time", async () => {
    await withWorld(async (world) => {
      world.terminate();
      const request = createAccepted({});
      const { route } = request;
      assert.equal(
        limits.getLatestBegin(world.context, request),
        world.stop.cutOffAt - OBJECTIVE,
      );
      for (let response = 0; response < 1_000; response++) {
        world.processingTimes.record(route.id, TARGET, 1_500, OBJECTIVE);
      }
      assert.equal(
        Math.round(world.stop.cutOffAt - limits.getLatestBegin(world.context, request)),
        4_500,
      );
      await Promise.resolve();
    });
  });
});
