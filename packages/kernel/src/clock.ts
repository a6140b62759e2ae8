/**
 * Elapsed time and waiting.
 *
 * Everything that guards a promise (leases, expiry, deadlines) measures elapsed time here, on the
 * runtime's monotonic clock, which neither a wall-clock step nor a time zone can move. Tests replace
 * the clock of the runtime itself, so no clock is passed around.
 */

import * as events from "node:events";

/** Milliseconds on the monotonic clock of the process. Only differences have a meaning. */
export function getMonotonicMilliseconds(): number {
  return performance.now();
}

/**
 * Waits for the given time.
 *
 * @param milliseconds How long to wait.
 * @param signal Ends the wait early when it aborts.
 * @returns `true` after the whole wait, `false` when the signal ended it.
 */
export function sleep(milliseconds: number, signal?: AbortSignal): Promise<boolean> {
  if (signal?.aborted) {
    return Promise.resolve(false);
  }
  if (signal !== undefined) {
    // Many tasks of one service wait on the service's signal; that is no leak.
    events.EventEmitter.setMaxListeners(0, signal);
  }
  return new Promise((resolve) => {
    const timer = setTimeout(() => {
      signal?.removeEventListener("abort", onAbort);
      resolve(true);
    }, milliseconds);
    const onAbort = () => {
      clearTimeout(timer);
      resolve(false);
    };
    signal?.addEventListener("abort", onAbort, { once: true });
  });
}

/** A timer that can be stopped. */
export interface StoppableTimer {
  stop(): void;
}

/**
 * Starts a timer that waits for input.
 *
 * When the process was held up, timers that have become due run before the input that came meanwhile
 * is handled. This one lets such input be handled first, so that what has arrived is not taken for
 * missing.
 *
 * @param milliseconds From now until the callback, at least.
 */
export function startInputTimer(callback: () => void, milliseconds: number): StoppableTimer {
  let immediate: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    immediate = setImmediate(callback);
  }, milliseconds);
  return {
    stop() {
      clearTimeout(timer);
      clearImmediate(immediate);
    },
  };
}
