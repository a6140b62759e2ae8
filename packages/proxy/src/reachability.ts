/**
 * Tracks which targets this VM can currently connect to.
 *
 * The path to a target can be cut for one VM and intact for others, so this is not reported to
 * them. Connection attempts time out early, relative to the usual connect time, since a lost SYN
 * packet is sent again only after a second. A target that could not be reached gets no requests
 * until a test connection without a request has succeeded, so that no caller waits for the test.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as testConnections from "./test_connection.ts";

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

/** Called with each connection to a target, and when a target has become unreachable. */
export type AttemptListener = (target: model.TargetId, isConnected: boolean) => void;

interface ConnectionTest {
  timer: NodeJS.Timeout | undefined;
  attempt: testConnections.ConnectionAttempt | undefined;
  failures: number;
}

/** Tracks the connect times and connection tests of one VM. */
export class Reachability implements kernel.Service {
  readonly #findAddress: (target: model.TargetId) => string | undefined;
  readonly #logger: kernel.ComponentLogger;
  readonly #sourceAddress: string | undefined;
  readonly #listeners: AttemptListener[] = [];
  readonly #connectTimes = new Map<model.TargetId, number>();
  readonly #tests = new Map<model.TargetId, ConnectionTest>();

  constructor(
    findAddress: (target: model.TargetId) => string | undefined,
    logger: kernel.ComponentLogger,
    sourceAddress?: string,
  ) {
    this.#findAddress = findAddress;
    this.#logger = logger;
    this.#sourceAddress = sourceAddress;
  }

  onAttempt(listener: AttemptListener): void {
    this.#listeners.push(listener);
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
    this.#notify(target, true);
  }

  /** Excludes a target until a test connection has succeeded. */
  recordUnreachable(target: model.TargetId): void {
    if (this.#tests.has(target)) {
      return;
    }
    this.#notify(target, false);
    const test: ConnectionTest = { timer: undefined, attempt: undefined, failures: 0 };
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

  /** Ends all tests, so that requests are sent to all targets again. */
  clear(): void {
    for (const target of [...this.#tests.keys()]) {
      this.#endTest(target);
    }
  }

  stop(): void {
    this.clear();
  }

  #notify(target: model.TargetId, isConnected: boolean): void {
    this.#listeners.forEach((listener) => listener(target, isConnected));
  }

  #endTest(target: model.TargetId): void {
    const test = this.#tests.get(target);
    if (test !== undefined) {
      clearTimeout(test.timer);
      test.attempt?.cancel();
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
    test.attempt = testConnections.testConnection(
      address,
      this.#sourceAddress,
      TEST_TIMEOUT_MILLISECONDS,
      (milliseconds) => {
        if (milliseconds === undefined) {
          test.failures++;
          this.#scheduleTest(target, test);
          return;
        }
        this.#logger.write(kernel.LogMessages.targetReachable, {
          target,
          tests: test.failures + 1,
        });
        this.recordConnected(target, milliseconds);
      },
    );
  }
}
