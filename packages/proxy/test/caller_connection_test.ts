/**
 * Tests of a caller's connection without a network, for every order of events.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as testing from "@hemlockwalk/kernel/testing";
import * as proxy from "@hemlockwalk/proxy";
import * as fastCheck from "fast-check";

/** Most requests of a connection that may be handled at once. */
const MAX_RUNNING = 4;

/** What is buffered of a long response at a time. */
const LONG_STEP_BYTES = 400_000;

/** Memory for responses of requests that run ahead: enough for one, for two, or for any number. */
const BUDGETS = [1, 2, 16].map((requests) => requests * proxy.MAX_AHEAD_RESPONSE_BYTES);

/** Longer than every time for which a connection is still read. */
const SETTLED_MILLISECONDS = 16_000;

class TestTransport implements proxy.ConnectionTransport {
  bytesRead = 0;
  readonly unsentBytes = 0;
  hasFailed = false;
  isEndedByCaller = false;
  isPaused = false;
  ended: "open" | "half" | "closed" = "open";
  lastBytes: string | undefined;

  pauseReading(): void {
    this.isPaused = true;
  }

  resumeReading(): void {
    this.isPaused = false;
  }

  end(lastBytes?: string): void {
    assert.equal(this.ended, "open", "the own side ends once");
    this.ended = "half";
    this.lastBytes = lastBytes;
  }

  close(): void {
    this.ended = "closed";
  }
}

class TestExchange implements proxy.ConnectionExchange {
  isRead: boolean;
  isPassedOn = false;
  isStarted = false;
  isDropped = false;
  isRejected = false;
  isCancelled = false;
  isCutOff = false;
  isAnswered = false;
  /** Whether its response may be sent. */
  hasTurn = false;
  readonly id: string;
  readonly mayRunAhead: boolean;
  isResponseShort: boolean;
  readonly #world: World;

  constructor(
    id: string,
    isRead: boolean,
    mayRunAhead: boolean,
    isResponseShort: boolean,
    world: World,
  ) {
    this.id = id;
    this.isRead = isRead;
    this.mayRunAhead = mayRunAhead;
    this.isResponseShort = isResponseShort;
    this.#world = world;
  }

  start(): void {
    assert.equal(this.#world.running, undefined, "all requests before it are answered");
    this.hasTurn = true;
    this.#begin();
  }

  startAhead(_reservation: proxy.AheadReservation, before: number): void {
    const { unanswered, stop, isResponseBegun } = this.#world;
    assert.ok(before > 0 && before < MAX_RUNNING, `${before} requests before it`);
    assert.equal(before, unanswered.length, "no request is left out");
    assert.ok([...unanswered, this].every(({ mayRunAhead }) => mayRunAhead), "one must not");
    assert.ok(
      unanswered.every(({ isResponseShort }) => isResponseShort),
      "nothing starts ahead behind a response that may begin before its end has arrived",
    );
    assert.equal(stop.isStopping, false, "nothing starts ahead after SIGTERM");
    assert.equal(isResponseBegun, false, "nothing starts ahead behind a response that has begun");
    this.#begin();
  }

  #begin(): void {
    assert.equal(this.isStarted, false, "a request is handled once");
    assert.equal(this.#world.transport.ended, "open", "nothing starts behind the end");
    const next = this.#world.exchanges.find((one) => !one.isStarted && !one.isDropped);
    assert.ok(next === undefined || next === this, "requests start in order");
    this.isStarted = true;
    this.isPassedOn = true;
  }

  takeTurn(): void {
    assert.equal(this.hasTurn, false, "a turn comes once");
    assert.equal(this.#world.running, this, "all requests before it are answered");
    this.hasTurn = true;
  }

  dropRest(): void {
    this.isDropped = true;
  }

  reject(): void {
    this.isRejected = true;
  }

  cutOff(): void {
    assert.ok(this.isStarted, "only what is handled is owed a response");
    this.isCutOff = true;
  }

  cancel(): void {
    this.isCancelled = true;
  }
}

/** A connection with all that happens around it. */
class World {
  readonly transport = new TestTransport();
  readonly stop = { isStopping: false, isClosing: false, cutOffAt: Number.POSITIVE_INFINITY };
  readonly exchanges: TestExchange[] = [];
  readonly ends: proxy.ConnectionEnd[] = [];
  readonly connection: proxy.CallerConnection;
  isClosed = false;
  hasBrokenOff = false;
  isResponseBegun = false;
  readonly budget: proxy.AheadBudget;
  #answered = 0;
  #longBytes = 0;

  constructor(budgetBytes?: number) {
    this.budget = new proxy.AheadBudget({ inc: () => undefined }, budgetBytes);
    this.connection = new proxy.CallerConnection(
      this.transport,
      { write: (end) => this.ends.push(end) },
      this.stop,
      this.budget,
    );
  }

  /** The requests that are handled, of which the first one may be answered. */
  get unanswered(): TestExchange[] {
    return this.exchanges.filter((one) => one.isStarted && !one.isAnswered && !one.isCancelled);
  }

  get running(): TestExchange | undefined {
    return this.unanswered[0];
  }

  read(isWhole: boolean, mayRunAhead = false, isResponseShort = mayRunAhead): void {
    // The parser finishes one request before it begins the next one.
    if (this.isClosed || this.transport.isPaused || this.exchanges.at(-1)?.isRead === false) {
      return;
    }
    this.transport.bytesRead += 100;
    const id = `${this.exchanges.length}`;
    const exchange = new TestExchange(id, isWhole, mayRunAhead, isResponseShort, this);
    this.exchanges.push(exchange);
    this.connection.add(exchange);
  }

  readRest(): void {
    const exchange = this.exchanges.at(-1);
    if (exchange !== undefined && !exchange.isRead && !this.isClosed) {
      this.transport.bytesRead += 100;
      exchange.isRead = true;
      this.connection.onRequestRead(exchange);
    }
  }

  /** Reads the rest of a request, whose trailers are malformed. */
  readMalformedRest(): void {
    const exchange = this.exchanges.at(-1);
    if (exchange === undefined || exchange.isRead || this.isClosed) {
      return;
    }
    this.transport.bytesRead += 100;
    exchange.isRead = true;
    const mustRefuse = this.running === exchange && this.transport.ended === "open";
    this.connection.onMalformedEnd(exchange);
    assert.equal(exchange.isRejected, mustRefuse, "a request that is handled is refused, no other");
    if (mustRefuse) {
      assert.equal(this.connection.decideEnd(), true, "what is behind it is read as requests");
    }
  }

  answer(): void {
    const exchange = this.running;
    if (exchange === undefined || this.transport.ended !== "open") {
      return;
    }
    assert.equal(this.exchanges.indexOf(exchange), this.#answered, "responses keep the order");
    assert.ok(exchange.hasTurn, "a response waits for its turn");
    this.#answered++;
    this.beginAnswer();
    exchange.isAnswered = true;
    this.isResponseBegun = false;
    this.#longBytes = 0;
    this.connection.onResponseSent();
    assert.equal(this.budget.longBytes, 0, "memory stays reserved");
  }

  /** Writes the head of the next response. */
  beginAnswer(): void {
    if (this.running === undefined || this.transport.ended !== "open") {
      return;
    }
    const isAnnounced = this.connection.decideEnd();
    assert.ok(!isAnnounced || this.unanswered.length === 1, "an end is announced too early");
    this.isResponseBegun = true;
  }

  /** Buffers more of a long response, if that is allowed. */
  bufferLong(): void {
    this.#longBytes += LONG_STEP_BYTES;
    const isAllowed = this.connection.mayBufferLong(this.#longBytes);
    assert.ok(!isAllowed || this.unanswered.length > 1, "no request behind it is at risk");
    assert.ok(!isAllowed || this.budget.longBytes >= this.#longBytes, "memory is not reserved");
  }

  breakOff(): void {
    const exchange = this.running;
    if (exchange === undefined || this.transport.ended !== "open") {
      return;
    }
    this.hasBrokenOff = true;
    const behind = this.unanswered.slice(1);
    this.beginAnswer();
    this.connection.breakOff();
    // Without a reset, which would drop responses before it.
    assert.equal(this.transport.ended, "half", "a cut one is noticed");
    assert.ok(behind.every(({ isCancelled }) => isCancelled), "requests run on for nobody");
    assert.equal(this.budget.reservedBytes, 0);
  }

  close(): void {
    if (!this.isClosed) {
      this.isClosed = true;
      this.connection.onClosed();
    }
  }

  /** Whether the connection has ended for a reason for which a handled request may lose its response. */
  get mayLose(): boolean {
    return this.isClosed || this.hasBrokenOff;
  }
}

const EVENTS: Readonly<Record<string, (world: World, clock: testing.TestClock) => unknown>> = {
  read: (world) => world.read(true),
  readAhead: (world) => world.read(true, true),
  readThreeAhead: (world) => [1, 2, 3].forEach(() => world.read(true, true)),
  readLongAhead: (world) => world.read(true, true, false),
  turnsOutLong: (world) => world.running !== undefined && (world.running.isResponseShort = false),
  bufferLong: (world) => world.bufferLong(),
  readHead: (world) => world.read(false),
  readRest: (world) => world.readRest(),
  readMalformedRest: (world) => world.readMalformedRest(),
  answer: (world) => world.answer(),
  beginAnswer: (world) => world.beginAnswer(),
  breakOff: (world) => world.breakOff(),
  invalid: (world) => world.isClosed || world.connection.onInvalidInput("400"),
  requireEnd: (world) => world.isClosed || world.connection.requireEnd(),
  idle: (world) => world.isClosed || world.connection.onIdleTimeout(),
  stop: (world) => world.stop.isStopping = true,
  closeListener: (world) => {
    world.stop.isStopping = true;
    world.stop.isClosing = true;
    world.connection.endIfIdle();
  },
  cutOff: (world) => {
    EVENTS["closeListener"]?.(world, undefined as never);
    world.connection.cutOff();
    if (world.isClosed || world.transport.ended !== "open") {
      return;
    }
    assert.ok(world.unanswered.every(({ isCutOff }) => isCutOff), "one waits for its target");
    while (world.running !== undefined && world.transport.ended === "open") {
      world.answer();
    }
    assert.notEqual(world.transport.ended, "open", "the connection stays open");
  },
  leave: (world) => {
    world.transport.isEndedByCaller = true;
    world.close();
  },
  wait: async (_world, clock) => await clock.advance(600),
};

/** Events behind which the connection stays open and the VM does not stop. */
const ONGOING_EVENTS = [
  "read",
  "readAhead",
  "readThreeAhead",
  "readLongAhead",
  "turnsOutLong",
  "bufferLong",
  "readHead",
  "readRest",
  "answer",
  "beginAnswer",
  "wait",
];

/** Checks what holds after each event. */
function checkAlways(world: World): void {
  const handled = world.exchanges.filter(({ isStarted }) => isStarted);
  const unanswered = handled.filter(({ isAnswered }) => !isAnswered);
  assert.ok(unanswered.length <= MAX_RUNNING, "more requests are owed a response than may run");
  assert.ok(
    unanswered.length <= 1 || unanswered.every(({ mayRunAhead }) => mayRunAhead),
    "at most one request is owed a response if one of them must not run beside others",
  );
  const isInOrder = handled.every((one, index) =>
    !one.isAnswered || index < handled.length - unanswered.length
  );
  assert.ok(isInOrder, "responses keep the order");
  const reserved = unanswered.filter(({ hasTurn, isCancelled }) => !hasTurn && !isCancelled).length;
  assert.equal(world.budget.reservedBytes, reserved * proxy.MAX_AHEAD_RESPONSE_BYTES);
  if (world.transport.ended !== "open" && !world.mayLose) {
    assert.deepEqual(unanswered.map(({ id }) => id), [], "the end takes no response with it");
  }
  if (world.transport.ended === "half") {
    const unread = world.exchanges.filter((one) => !one.isRead && !one.isDropped);
    assert.deepEqual(unread.map(({ id }) => id), [], "what is unread behind the end is dropped");
  }
}

test.describe("a caller's connection", () => {
  test.test("drawn orders of events lose, reorder or repeat a request", async () => {
    const names = fastCheck.constantFrom(...Object.keys(EVENTS));
    // Half of the events end the connection or bar requests from running ahead. Where they are
    // seldom, requests run ahead for long enough to meet every other event.
    const ongoing = fastCheck.oneof(
      { weight: 9, arbitrary: fastCheck.constantFrom(...ONGOING_EVENTS) },
      { weight: 1, arbitrary: names },
    );
    const lists = fastCheck.oneof(
      fastCheck.array(names, { maxLength: 40 }),
      fastCheck.array(ongoing, { maxLength: 40 }),
    );
    await fastCheck.assert(
      fastCheck.asyncProperty(lists, fastCheck.constantFrom(...BUDGETS), async (events, bytes) => {
        const clock = new testing.TestClock();
        try {
          const world = new World(bytes);
          for (const name of events) {
            await EVENTS[name]?.(world, clock);
            checkAlways(world);
          }
          // Targets respond to all that was passed on, and the caller never closes.
          while (world.running !== undefined && world.transport.ended === "open") {
            world.answer();
            checkAlways(world);
          }
          for (let milliseconds = 0; milliseconds < SETTLED_MILLISECONDS; milliseconds += 500) {
            await clock.advance(500);
          }
          assert.ok(
            world.isClosed || world.transport.ended !== "half",
            "a connection that has ended stays open",
          );
          world.close();
          assert.equal(world.ends.length, 1);
          const passedOn = world.ends[0]?.unanswered.filter((request) => request.isPassedOn);
          const handled = world.exchanges.filter((one) => one.isStarted && !one.isAnswered);
          assert.deepEqual(passedOn?.map(({ id }) => id), handled.map(({ id }) => id));
          assert.ok(handled.every(({ isCancelled }) => isCancelled));
          assert.equal(world.budget.reservedBytes, 0, "memory stays reserved");
          assert.equal(world.budget.longBytes, 0, "memory stays reserved");
        } finally {
          clock.restore();
        }
      }),
      { seed: 20261205, numRuns: 1_000 },
    );
  });

  test.test("a request that is being read at the close of the listener is not answered", () => {
    const world = new World();
    world.read(true);
    world.answer();
    world.transport.bytesRead += 10;
    EVENTS["closeListener"]?.(world, undefined as never);
    assert.equal(world.transport.ended, "open");
    world.read(true);
    assert.equal(world.connection.decideEnd(), true);
    world.answer();
    assert.equal(world.transport.ended, "half");
    world.close();
  });

  test.test("the rest of an answered request is read without a bound of time or bytes", async () => {
    const clock = new testing.TestClock();
    try {
      const world = new World();
      world.read(false);
      world.answer();
      assert.equal(world.transport.ended, "open");
      await clock.advance(5_100);
      assert.equal(world.transport.ended, "half");
      world.transport.bytesRead += 5_000_000;
      await clock.advance(100);
      assert.equal(world.transport.ended, "closed");
      world.close();
    } finally {
      clock.restore();
    }
  });

  test.test("requests that may run ahead wait for their turn, or too many start", () => {
    const world = new World();
    const startAt = (count: number, mayRunAhead: boolean) => {
      for (let request = 0; request < count; request++) {
        world.read(true, mayRunAhead);
      }
      return world.unanswered.map(({ id }) => id);
    };
    assert.deepEqual(startAt(6, true), ["0", "1", "2", "3"]);
    world.answer();
    assert.deepEqual(world.unanswered.map(({ id }) => id), ["1", "2", "3", "4"]);
    // Nothing starts ahead behind one that must run alone, nor does it start ahead itself.
    assert.deepEqual(startAt(1, false), ["1", "2", "3", "4"]);
    startAt(2, true);
    [1, 2, 3, 4].forEach(() => world.answer());
    assert.deepEqual(world.unanswered.map(({ id }) => id), ["5"]);
    world.answer();
    assert.deepEqual(world.unanswered.map(({ id }) => id), ["6"]);
    world.answer();
    assert.deepEqual(world.unanswered.map(({ id }) => id), ["7", "8"]);
    world.close();
  });

  test.test("the memory of all connections for responses that wait has no limit", () => {
    const world = new World(BUDGETS[1]);
    world.read(true, true);
    world.read(true, true);
    world.read(true, true);
    world.read(true, true);
    assert.equal(world.unanswered.length, 3);
    const budget = new proxy.AheadBudget({ inc: () => undefined }, BUDGETS[0]);
    const reserved = budget.reserve();
    assert.equal(budget.reserve(), undefined);
    reserved?.shrinkTo(0);
    const next = budget.reserve();
    assert.notEqual(next, undefined);
    next?.shrinkTo(100);
    assert.equal(budget.reservedBytes, 100);
    next?.cancel();
    reserved?.release();
    assert.equal(budget.reservedBytes, 0);
    world.close();
  });

  test.test("a response that breaks off takes those with it that started behind it", () => {
    const world = new World();
    world.read(true, true, false);
    world.read(true, true);
    world.read(true, true);
    assert.deepEqual(world.unanswered.map(({ id }) => id), ["0"], "its length is not known");
    world.answer();
    assert.deepEqual(world.unanswered.map(({ id }) => id), ["1", "2"]);
    // The head of the next response says that it is long.
    const [running] = world.unanswered;
    assert.ok(running !== undefined);
    running.isResponseShort = false;
    world.read(true, true);
    assert.deepEqual(world.unanswered.map(({ id }) => id), ["1", "2"], "none starts behind it");
    assert.equal(world.connection.mayBufferLong(500_000), true, "one behind it is at risk");
    world.answer();
    assert.equal(world.budget.longBytes, 0);
    assert.deepEqual(world.unanswered.map(({ id }) => id), ["2", "3"]);
    world.answer();
    assert.equal(world.connection.mayBufferLong(500_000), false, "nothing is at risk");
    world.close();
  });

  test.test("long responses that are buffered whole use memory without limit", () => {
    const budget = new proxy.AheadBudget({ inc: () => undefined });
    const reservations = Array.from({ length: 5 }, () => budget.createLongReservation());
    assert.deepEqual(
      reservations.map((one) => one.growTo(1_000_000)),
      [true, true, true, true, false],
    );
    assert.equal(reservations[0]?.growTo(1_048_577), false, "one is longer than allowed");
    assert.equal(budget.longBytes, 4_000_000);
    reservations[0]?.release();
    assert.equal(reservations[4]?.growTo(1_000_000), true);
    reservations.forEach((one) => one.release());
    assert.equal(budget.longBytes, 0);
  });

  test.test("a response that waits is dropped at a stop, since one before it still runs", () => {
    const world = new World();
    [1, 2, 3].forEach(() => world.read(true, true));
    // Read behind them, and never passed on.
    world.read(true);
    world.stop.isStopping = true;
    world.stop.isClosing = true;
    world.connection.endIfIdle();
    world.connection.cutOff();
    assert.deepEqual(world.exchanges.map(({ isCutOff }) => isCutOff), [true, true, true, false]);
    [1, 2, 3].forEach(() => {
      assert.equal(world.transport.ended, "open");
      world.answer();
    });
    assert.equal(world.transport.ended, "half");
    world.close();
    assert.deepEqual(world.ends[0]?.unanswered, [{ id: "3", isPassedOn: false }]);
  });

  test.test("an end is announced while requests run ahead, and takes them with it", () => {
    const world = new World();
    [1, 2, 3].forEach(() => world.read(true, true));
    world.stop.isStopping = true;
    world.stop.isClosing = true;
    world.connection.endIfIdle();
    // Read behind them, and never passed on.
    world.read(true, true);
    const announced = [1, 2, 3].map(() => {
      const isAnnounced = world.connection.decideEnd();
      world.answer();
      return isAnnounced;
    });
    assert.deepEqual(announced, [false, false, true]);
    assert.equal(world.transport.ended, "half");
    world.close();
    assert.deepEqual(world.ends[0]?.unanswered, [{ id: "3", isPassedOn: false }]);
  });

  test.test("a caller may make the VM read requests ahead without limit", () => {
    const world = new World();
    for (let request = 0; request < 100; request++) {
      world.read(true);
    }
    assert.ok(world.exchanges.length < 20, `${world.exchanges.length} requests`);
    while (world.running !== undefined) {
      world.answer();
    }
    assert.equal(world.transport.isPaused, false);
    world.close();
  });
});
