/**
 * Tells whether this VM itself is likely to be at fault, since calls to many targets go badly at once.
 */

import type * as types from "./types.ts";

const WINDOW_MILLISECONDS = 5_000;

/** Targets for which calls must go badly, and their share of the targets that were called. */
const LEAST_BAD_TARGETS = 3;
const BAD_TARGET_SHARE = 0.5;

interface LatestCalls {
  callAt: number;
  badAt: number;
}

/** Recent calls of this VM to all targets of all services. */
export class SelfSuspicion {
  readonly #targets = new Map<types.ShortId, LatestCalls>();
  readonly #enabled: boolean;
  #lastBadAt = Number.NEGATIVE_INFINITY;

  constructor(enabled: boolean) {
    this.#enabled = enabled;
  }

  /** Notes a call and whether it went badly. */
  note(target: types.ShortId, bad: boolean, nowMilliseconds: number): void {
    let calls = this.#targets.get(target);
    if (calls === undefined) {
      calls = { callAt: 0, badAt: Number.NEGATIVE_INFINITY };
      this.#targets.set(target, calls);
    }
    calls.callAt = nowMilliseconds;
    if (bad) {
      calls.badAt = nowMilliseconds;
      this.#lastBadAt = nowMilliseconds;
    }
  }

  /** Whether this VM should not trust what it sees. */
  isSuspect(nowMilliseconds: number): boolean {
    const since = nowMilliseconds - WINDOW_MILLISECONDS;
    if (this.#lastBadAt < since) {
      return false;
    }
    let called = 0;
    let bad = 0;
    for (const [target, calls] of this.#targets) {
      if (calls.callAt < since) {
        this.#targets.delete(target);
        continue;
      }
      called++;
      if (calls.badAt >= since) {
        bad++;
      }
    }
    return this.#enabled && bad >= LEAST_BAD_TARGETS && bad >= called * BAD_TARGET_SHARE;
  }
}
