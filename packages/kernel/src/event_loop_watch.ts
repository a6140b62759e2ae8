/**
 * Bounds the time at which a signal was sent that the process handles now.
 *
 * A signal is handled when the event loop turns the next time. If the loop was blocked, or the
 * process stood still, it was sent earlier than that, and times that whoever sent it counts began
 * then. When it was sent is not known; but it was sent after the last time at which the loop is known
 * to have looked for signals.
 */

import * as clock from "./clock.ts";

const INTERVAL_MILLISECONDS = 50;

/** Records when the event loop has looked for input, to which signals belong. */
export class EventLoopWatch {
  #timer: NodeJS.Timeout | undefined;
  #immediate: NodeJS.Immediate | undefined;
  /** Whatever arrived before has been handled. The monotonic clock begins with the process. */
  #handledUntil = 0;

  start(): void {
    this.#schedule();
  }

  stop(): void {
    clearTimeout(this.#timer);
    clearImmediate(this.#immediate);
  }

  /**
   * Earliest monotonic time at which a signal that is handled now can have been sent, in
   * milliseconds. While the event loop turns, it lies up to 50 ms back.
   *
   * @param maxDelayMilliseconds Longest time by which it lies back.
   */
  getEarliestSignalTime(maxDelayMilliseconds: number): number {
    return Math.max(this.#handledUntil, clock.getMonotonicMilliseconds() - maxDelayMilliseconds);
  }

  #schedule(): void {
    this.#timer = setTimeout(() => {
      const now = clock.getMonotonicMilliseconds();
      // The loop looks for input between timers and immediates. A timer alone says nothing, since
      // after the loop was blocked it runs before a signal that has arrived meanwhile.
      this.#immediate = setImmediate(() => {
        this.#handledUntil = now;
        this.#schedule();
      });
    }, INTERVAL_MILLISECONDS);
    this.#timer.unref?.();
  }
}
