/**
 * Tests of a caller's connection without a network, for every order of events.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as testing from "@hemlockwalk/kernel/testing";
import * as proxy from "@hemlockwalk/proxy";
import * as fastCheck from "fast-check";

/** Longer than every time for which a connection is still read. */
const SETTLED_MILLISECONDS = 16_000;

class TestTransport implements proxy.ConnectionTransport {
  bytesRead = 0;
  readonly unsentBytes = 0;
  hasFailed = false;
  isEndedByCaller = false;
  isPaused = false;
  ended: "open" | "half" | "closed" | "reset" = "open";
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

  reset(): void {
    this.ended = "reset";
  }
}

class TestExchange implements proxy.ConnectionExchange {
  isRead: boolean;
  isPassedOn = false;
  isStarted = false;
  isDropped = false;
  isRejected = false;
  isCancelled = false;
  isAnswered = false;
  readonly id: string;
  readonly #world: World;

  constructor(id: string, isRead: boolean, world: World) {
    this.id = id;
    this.isRead = isRead;
    this.#world = world;
  }

  start(): void {
    assert.equal(this.isStarted, false, "a request is handled once");
    assert.equal(this.#world.transport.ended, "open", "nothing starts behind the end");
    assert.equal(this.#world.running, undefined, "one request is handled at a time");
    this.isStarted = true;
    this.isPassedOn = true;
  }

  dropRest(): void {
    this.isDropped = true;
  }

  reject(): void {
    this.isRejected = true;
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
  #answered = 0;

  constructor() {
    this.connection = new proxy.CallerConnection(
      this.transport,
      { write: (end) => this.ends.push(end) },
      this.stop,
    );
  }

  get running(): TestExchange | undefined {
    return this.exchanges.find((one) => one.isStarted && !one.isAnswered && !one.isCancelled);
  }

  read(isWhole: boolean): void {
    // The parser finishes one request before it begins the next one.
    if (this.isClosed || this.transport.isPaused || this.exchanges.at(-1)?.isRead === false) {
      return;
    }
    this.transport.bytesRead += 100;
    const exchange = new TestExchange(`${this.exchanges.length}`, isWhole, this);
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

  answer(isByEnd: boolean): void {
    const exchange = this.running;
    if (exchange === undefined || this.transport.ended !== "open") {
      return;
    }
    assert.equal(this.exchanges.indexOf(exchange), this.#answered, "responses keep the order");
    this.#answered++;
    this.connection.decideEnd(isByEnd);
    exchange.isAnswered = true;
    this.connection.onResponseSent();
  }

  breakOff(isByEnd: boolean): void {
    const exchange = this.running;
    if (exchange === undefined || this.transport.ended !== "open") {
      return;
    }
    this.hasBrokenOff = true;
    this.connection.decideEnd(isByEnd);
    this.connection.breakOff(isByEnd ? "by_end" : "framed");
    assert.equal(this.transport.ended, isByEnd ? "reset" : "half", "a cut response is noticed");
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
  readHead: (world) => world.read(false),
  readRest: (world) => world.readRest(),
  answer: (world) => world.answer(false),
  beginAnswer: (world) => world.running === undefined || world.connection.decideEnd(false),
  answerByEnd: (world) => world.answer(true),
  breakOff: (world) => world.breakOff(false),
  breakOffByEnd: (world) => world.breakOff(true),
  invalid: (world) => world.isClosed || world.connection.onInvalidInput("400"),
  requireEnd: (world) => world.isClosed || world.connection.requireEnd(),
  idle: (world) => world.isClosed || world.connection.onIdleTimeout(),
  stop: (world) => world.stop.isStopping = true,
  closeListener: (world) => {
    world.stop.isStopping = true;
    world.stop.isClosing = true;
    world.connection.endIfIdle();
  },
  leave: (world) => {
    world.transport.isEndedByCaller = true;
    world.close();
  },
  wait: async (_world, clock) => await clock.advance(600),
};

/** Checks what holds after each event. */
function checkAlways(world: World): void {
  const handled = world.exchanges.filter(({ isStarted }) => isStarted);
  const unanswered = handled.filter(({ isAnswered }) => !isAnswered);
  assert.ok(unanswered.length <= 1, "at most one request is owed a response");
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
    await fastCheck.assert(
      fastCheck.asyncProperty(fastCheck.array(names, { maxLength: 40 }), async (events) => {
        const clock = new testing.TestClock();
        try {
          const world = new World();
          for (const name of events) {
            await EVENTS[name]?.(world, clock);
            checkAlways(world);
          }
          // Targets respond to all that was passed on, and the caller never closes.
          while (world.running !== undefined && world.transport.ended === "open") {
            world.answer(false);
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
    world.answer(false);
    world.transport.bytesRead += 10;
    EVENTS["closeListener"]?.(world, undefined as never);
    assert.equal(world.transport.ended, "open");
    world.read(true);
    assert.equal(world.connection.decideEnd(false), true);
    world.answer(false);
    assert.equal(world.transport.ended, "half");
    world.close();
  });

  test.test("the rest of an answered request is read without a bound of time or bytes", async () => {
    const clock = new testing.TestClock();
    try {
      const world = new World();
      world.read(false);
      world.answer(false);
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

  test.test("a caller may make the VM read requests ahead without limit", () => {
    const world = new World();
    for (let request = 0; request < 100; request++) {
      world.read(true);
    }
    assert.ok(world.exchanges.length < 20, `${world.exchanges.length} requests`);
    while (world.running !== undefined) {
      world.answer(false);
    }
    assert.equal(world.transport.isPaused, false);
    world.close();
  });
});
