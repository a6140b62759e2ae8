/**
 * A clock of the runtime that a test controls.
 *
 * Timers, the wall clock and the monotonic clock are paused until the test advances them together.
 */

import * as testing from "node:test";

export { claimPort, claimUnusedAddress, hasEndedInOrder, waitFor } from "./loopback.ts";
export { renameFields } from "./lenient_parser.ts";
export { getRandomRuns, type RandomRuns } from "./random_runs.ts";

const FLUSH_ROUNDS = 4;

/** Pauses the clock of the runtime and advances it on request. */
export class TestClock {
  #monotonic = 1_000;
  readonly #setImmediate = setImmediate;
  readonly #now = performance.now.bind(performance);

  constructor() {
    testing.mock.timers.enable({
      apis: ["setTimeout", "setInterval", "Date"],
      now: 1_700_000_000_000,
    });
    // A mock of the test runner would record every call, and a long history makes millions.
    performance.now = () => this.#monotonic;
  }

  /** Milliseconds on the paused monotonic clock. */
  get monotonicMilliseconds(): number {
    return this.#monotonic;
  }

  /**
   * Advances all clocks in steps and runs the timers that are due after each step.
   *
   * @param milliseconds How far to advance.
   * @param stepMilliseconds Length of a step. Shorter steps order events more precisely.
   */
  async advance(milliseconds: number, stepMilliseconds = 10): Promise<void> {
    let left = milliseconds;
    while (left > 0) {
      const step = Math.min(left, stepMilliseconds);
      this.#monotonic += step;
      testing.mock.timers.tick(step);
      await this.flush();
      left -= step;
    }
  }

  /** Lets pending promise reactions and sockets on loopback run without advancing the clock. */
  async flush(): Promise<void> {
    for (let round = 0; round < FLUSH_ROUNDS; round++) {
      await new Promise<void>((resolve) => this.#setImmediate(resolve));
    }
  }

  /** Restores the clock of the runtime. */
  restore(): void {
    performance.now = this.#now;
    testing.mock.timers.reset();
  }
}
