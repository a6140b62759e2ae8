/**
 * Tracks which targets this VM can currently connect to.
 *
 * The path to a target can be cut for one VM and intact for others, so this is not reported to
 * them. Connection attempts time out early, relative to the usual connect time, since a lost SYN
 * packet is sent again only after a second. A target that could not be reached gets no requests
 * until a test connection without a request has succeeded, so that no caller waits for the test.
 */

import * as net from "node:net";
import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";

/**
 * A connection attempt times out after this minimum plus some usual connect times. The minimum
 * covers the delays of a busy VM.
 */
const MIN_CONNECT_TIMEOUT_MILLISECONDS = 80;
const MAX_USUAL_CONNECT_TIMES = 4;

/** Connect time assumed for a target without an earlier connection. */
const INITIAL_CONNECT_MILLISECONDS = 40;

/** Weight of a new connect time in the usual one. */
const CONNECT_TIME_WEIGHT = 0.3;

/** Pause before a target is tested, doubled after each failed test. */
const MIN_TEST_PAUSE_MILLISECONDS = 200;
const MAX_TEST_PAUSE_MILLISECONDS = 2_000;

/** Timeout of a test. It may be longer than a caller would wait. */
const TEST_TIMEOUT_MILLISECONDS = 500;

/** Number of consecutive failed tests after which requests are sent to the target again. */
const MAX_TESTS = 30;

interface ConnectionTest {
  timer: NodeJS.Timeout | undefined;
  failures: number;
}

/** Tracks the connect times and connection tests of one VM. */
export class Reachability implements kernel.Service {
  readonly #findAddress: (target: model.TargetId) => string | undefined;
  readonly #logger: kernel.ComponentLogger;
  readonly #connectTimes = new Map<model.TargetId, number>();
  readonly #tests = new Map<model.TargetId, ConnectionTest>();

  constructor(
    findAddress: (target: model.TargetId) => string | undefined,
    logger: kernel.ComponentLogger,
  ) {
    this.#findAddress = findAddress;
    this.#logger = logger;
  }

  isReachable(target: model.TargetId): boolean {
    return !this.#tests.has(target);
  }

  /** Connect timeout for a target, in milliseconds. */
  getConnectTimeout(target: model.TargetId): number {
    const usual = this.#connectTimes.get(target) ?? INITIAL_CONNECT_MILLISECONDS;
    return MIN_CONNECT_TIMEOUT_MILLISECONDS + MAX_USUAL_CONNECT_TIMES * usual;
  }

  recordConnected(target: model.TargetId, milliseconds: number): void {
    const usual = this.#connectTimes.get(target) ?? milliseconds;
    this.#connectTimes.set(target, usual + CONNECT_TIME_WEIGHT * (milliseconds - usual));
    this.#endTest(target);
  }

  /** Excludes a target until a test connection has succeeded. */
  recordUnreachable(target: model.TargetId): void {
    if (this.#tests.has(target)) {
      return;
    }
    const test: ConnectionTest = { timer: undefined, failures: 0 };
    this.#tests.set(target, test);
    this.#logger.write(kernel.LogMessages.targetUnreachable, {
      target,
      timeoutMilliseconds: Math.round(this.getConnectTimeout(target)),
    });
    this.#scheduleTest(target, test);
  }

  removeTarget(target: model.TargetId): void {
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

  #scheduleTest(target: model.TargetId, test: ConnectionTest): void {
    const pause = Math.min(
      MIN_TEST_PAUSE_MILLISECONDS * 2 ** test.failures,
      MAX_TEST_PAUSE_MILLISECONDS,
    );
    test.timer = setTimeout(() => this.#test(target, test), pause);
  }

  #test(target: model.TargetId, test: ConnectionTest): void {
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
      // The socket may still fail while it closes; that is of no interest.
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
        this.#logger.write(kernel.LogMessages.targetReachable, {
          target,
          tests: test.failures + 1,
        });
        this.recordConnected(target, kernel.getMonotonicMilliseconds() - startedAt);
      }
    });
  }
}
