/**
 * Detects likely faults of this VM or its network path: calls to many targets are bad at the same
 * time.
 */

import type * as types from "./types.ts";

const WINDOW_MILLISECONDS = 5_000;

/** Targets with bad calls, and their share of the called targets, that a local fault requires. */
const MINIMUM_BAD_TARGETS = 3;
const BAD_TARGET_SHARE = 0.5;

interface LatestCalls {
  callAt: number;
  badAt: number;
}

/** Detects local faults by the recent calls of this VM to all targets of all services. */
export class LocalFaultDetector {
  readonly #targets = new Map<types.ShortId, LatestCalls>();
  readonly #enabled: boolean;
  #lastBadAt = Number.NEGATIVE_INFINITY;

  constructor(enabled: boolean) {
    this.#enabled = enabled;
  }

  /** Records a call and whether it was bad. */
  recordCall(target: types.ShortId, bad: boolean, nowMilliseconds: number): void {
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

  /** Whether a fault of this VM or its network path is likely to be the cause of its bad calls. */
  hasLocalFault(nowMilliseconds: number): boolean {
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
    return this.#enabled && bad >= MINIMUM_BAD_TARGETS && bad >= called * BAD_TARGET_SHARE;
  }
}
