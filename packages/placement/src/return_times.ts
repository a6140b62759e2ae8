/**
 * Times at which refused requests should return.
 *
 * Designed for a workspace at up to five times its rate whose callers obey Retry-After. A VM gives
 * out one return time for each token that its requests of a priority can expect of the refill, so
 * that the returns arrive no faster than the refill. Further requests get a time near the cap: a
 * time is never a promise of a token, since returning requests are treated like new ones.
 */

import * as urgency from "./urgency.ts";

/** A return before this time would reach the VM before the reports of the others. */
const MIN_RETURN_MILLISECONDS = 100;

/** Longest return time, by class: urgent requests return first. */
const MAX_RETURN_MILLISECONDS = [1_000, 1_500, 2_000, 2_500];

/** Part of the caller's time left that may pass before the return. */
const MAX_SHARE_OF_TIME_LEFT = 0.5;

/** Part of the cap over which the returns are spread that exceed the refill. */
const SPREAD = 0.5;

/** Gives out the return times of one VM for one workspace. */
export class ReturnTimes {
  /** Latest time given out in each class, in monotonic milliseconds. */
  readonly #latest = new Array<number>(urgency.PRIORITY_CLASSES).fill(Number.NEGATIVE_INFINITY);
  readonly #random: () => number;

  /** @param random Draws numbers from 0 to 1. */
  constructor(random: () => number = Math.random) {
    this.#random = random;
  }

  /**
   * Gives out the delay after which a refused request should return, in milliseconds.
   *
   * @param priorityClass See `getPriorityClass`.
   * @param tokensPerMillisecond What the requests of this class at this VM can expect of the refill.
   * @param now Monotonic time in milliseconds.
   * @param timeLeft Time that the caller has left, in milliseconds.
   */
  take(
    priorityClass: number,
    tokensPerMillisecond: number,
    now: number,
    timeLeft: number,
  ): number {
    const { delay, at } = this.peek(priorityClass, tokensPerMillisecond, now, timeLeft);
    if (at !== undefined) {
      this.#latest[priorityClass] = at;
    }
    return delay;
  }

  /**
   * Finds the delay that `take` would give out and, if it stands for a token of the refill, the
   * monotonic time of the return. Has no side effect.
   */
  peek(
    priorityClass: number,
    tokensPerMillisecond: number,
    now: number,
    timeLeft: number,
  ): { readonly delay: number; readonly at: number | undefined } {
    const longest = MAX_RETURN_MILLISECONDS[priorityClass] ?? MAX_RETURN_MILLISECONDS[0] ?? 0;
    const cap = Math.max(0, Math.min(longest, timeLeft * MAX_SHARE_OF_TIME_LEFT));
    if (!(tokensPerMillisecond > 0)) {
      // Nothing is known of the refill yet, as on a VM that has just started.
      return { delay: cap * (1 - SPREAD * this.#random()), at: undefined };
    }
    const latest = this.#latest[priorityClass] ?? Number.NEGATIVE_INFINITY;
    const earliest = now + Math.min(MIN_RETURN_MILLISECONDS, cap);
    const interval = 1 / tokensPerMillisecond;
    const next = Math.max(earliest, latest + interval);
    // A VM with few tokens draws its first time as well, or the returns to all VMs would coincide.
    const at = latest < now ? next + interval * this.#random() : next;
    return at > now + cap
      ? { delay: cap * (1 - SPREAD * this.#random()), at: undefined }
      : { delay: at - now, at };
  }
}
