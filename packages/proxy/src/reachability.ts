/**
 * Which targets this VM can reach at present.
 *
 * A path can be cut for one VM and whole for others, so this is not told. Connections are given up
 * early, against what they usually take, since a lost opening packet is sent again only after a
 * second. A target that was not reached gets no request until a bare connection has shown that it
 * can be reached again, so that no caller waits for the test.
 */

import * as net from "node:net";
import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";

/** Given up after this and some usual connection times. Covers the delay of a busy VM. */
const MIN_CONNECT_TIMEOUT_MILLISECONDS = 80;
const USUAL_TIMES_ALLOWED = 4;

/** Assumed for a target that was never connected to. */
const INITIAL_CONNECT_MILLISECONDS = 40;

/** Weight of a new connection time in the usual one. */
const CONNECT_TIME_WEIGHT = 0.3;

/** Pause before a target is tested, twice as long after each failed test. */
const MIN_TEST_PAUSE_MILLISECONDS = 200;
const MAX_TEST_PAUSE_MILLISECONDS = 2_000;

/** A test may take longer than a caller would wait. */
const TEST_TIMEOUT_MILLISECONDS = 500;

/** Tests that fail in a row before a target is left to the callers again. */
const MAX_TESTS = 30;

interface Test {
  timer: NodeJS.Timeout | undefined;
  failures: number;
}

/** Connection times and tests of one VM. */
export class Reachability implements kernel.Service {
  readonly #findAddress: (target: model.TargetId) => string | undefined;
  readonly #logger: kernel.PartLogger;
  readonly #connectTimes = new Map<model.TargetId, number>();
  readonly #tests = new Map<model.TargetId, Test>();

  constructor(
    findAddress: (target: model.TargetId) => string | undefined,
    logger: kernel.PartLogger,
  ) {
    this.#findAddress = findAddress;
    this.#logger = logger;
  }

  isReachable(target: model.TargetId): boolean {
    return !this.#tests.has(target);
  }

  /** Longest time for a new connection to a target, in milliseconds. */
  getConnectTimeout(target: model.TargetId): number {
    const usual = this.#connectTimes.get(target) ?? INITIAL_CONNECT_MILLISECONDS;
    return MIN_CONNECT_TIMEOUT_MILLISECONDS + USUAL_TIMES_ALLOWED * usual;
  }

  noteConnected(target: model.TargetId, milliseconds: number): void {
    const usual = this.#connectTimes.get(target) ?? milliseconds;
    this.#connectTimes.set(target, usual + CONNECT_TIME_WEIGHT * (milliseconds - usual));
    this.#endTest(target);
  }

  /** Takes a target out until it is reached again. */
  noteUnreachable(target: model.TargetId): void {
    if (this.#tests.has(target)) {
      return;
    }
    const test: Test = { timer: undefined, failures: 0 };
    this.#tests.set(target, test);
    this.#logger.write(kernel.LogMessages.targetUnreachable, {
      target,
      timeoutMilliseconds: Math.round(this.getConnectTimeout(target)),
    });
    this.#scheduleTest(target, test);
  }

  forget(target: model.TargetId): void {
    this.#connectTimes.delete(target);
    this.#endTest(target);
  }

  stop(): void {
    for (const target of [...this.#tests.keys()]) {
      this.#endTest(target);
    }
  }

  #endTest(target: model.TargetId): void {
    const test = this.#tests.get(target);
    if (test !== undefined) {
      clearTimeout(test.timer);
      this.#tests.delete(target);
    }
  }

  #scheduleTest(target: model.TargetId, test: Test): void {
    const pause = Math.min(
      MIN_TEST_PAUSE_MILLISECONDS * 2 ** test.failures,
      MAX_TEST_PAUSE_MILLISECONDS,
    );
    test.timer = setTimeout(() => this.#test(target, test), pause);
  }

  #test(target: model.TargetId, test: Test): void {
    const address = this.#findAddress(target);
    if (address === undefined || test.failures >= MAX_TESTS) {
      this.#endTest(target);
      return;
    }
    const { host, port } = kernel.splitAddress(address);
    const socket = net.connect(port, host);
    const startedAt = kernel.getMonotonicMilliseconds();
    const timer = kernel.startInputTimer(() => fail(), TEST_TIMEOUT_MILLISECONDS);
    const finish = () => {
      timer.stop();
      socket.removeAllListeners();
      // The socket may still fail while it closes, which says nothing new.
      socket.on("error", () => undefined);
      socket.destroy();
    };
    const fail = () => {
      finish();
      if (this.#tests.get(target) === test) {
        test.failures++;
        this.#scheduleTest(target, test);
      }
    };
    socket.once("error", fail);
    socket.once("connect", () => {
      finish();
      if (this.#tests.get(target) === test) {
        this.#logger.write(kernel.LogMessages.targetReached, { target, tests: test.failures + 1 });
        this.noteConnected(target, kernel.getMonotonicMilliseconds() - startedAt);
      }
    });
  }
}
