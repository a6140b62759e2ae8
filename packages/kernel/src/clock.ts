/**
 * Elapsed time, delays and timers.
 *
 * Leases, expiry and deadlines are measured with the monotonic clock of the runtime, which changes
 * of the wall clock or the time zone do not affect. Tests mock the clock of the runtime itself, so
 * no clock object is passed as a parameter.
 */

import * as events from "node:events";

/** Milliseconds on the monotonic clock of the process. Only differences are meaningful. */
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
    // Many tasks of a service wait on its signal, so many listeners do not indicate a leak.
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

/** Delay of a timer from which the process is taken to have stood still. */
const STANDSTILL_MILLISECONDS = 250;

/** Time to accept the connections, and read the data, that arrived during a standstill. */
const PENDING_INPUT_MILLISECONDS = 100;

/**
 * Waits for the given time and, if the process has stood still, until input has been handled that
 * arrived meanwhile.
 *
 * Expired timers run before input. What a caller has sent would otherwise be taken for something
 * that it has not sent.
 *
 * @param milliseconds How long to wait.
 */
export async function sleepAndHandleInput(milliseconds: number): Promise<void> {
  const endsAt = getMonotonicMilliseconds() + milliseconds;
  await sleep(milliseconds);
  if (getMonotonicMilliseconds() - endsAt >= STANDSTILL_MILLISECONDS) {
    await sleep(PENDING_INPUT_MILLISECONDS);
  }
}

/**
 * Lets pending input be handled. Expired timers run before input that has arrived while the event
 * loop was busy.
 */
export async function handleInput(): Promise<void> {
  await new Promise<void>((resolve) => setImmediate(resolve));
  await new Promise<void>((resolve) => setImmediate(resolve));
}

export interface StoppableTimer {
  stop(): void;
}

/**
 * Starts a timer that lets pending input be handled before it fires.
 *
 * After the event loop was blocked, Node.js runs expired timers before it handles the input that
 * arrived in the meantime. This timer handles such input first, so that data that has already
 * arrived does not count as missing.
 *
 * @param milliseconds Minimum time until the callback runs.
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
