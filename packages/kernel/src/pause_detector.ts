/**
 * Detects pauses of the process.
 *
 * After a pause, the state that a VM holds is out of date. A late tick of a timer with a short
 * interval indicates a pause. Measurements and health evidence that span a pause are invalid.
 */

import * as clock from "./clock.ts";
import * as kernel from "./kernel.ts";
import type * as types from "./types.ts";

const HEARTBEAT_MILLISECONDS = 50;

/** Delay from which a late heartbeat counts as a pause. */
const PAUSE_THRESHOLD_MILLISECONDS = 250;

/** Called with the length of the pause in milliseconds. */
export type PauseListener = (milliseconds: number) => void;

/** Service that reports when the process has resumed after a pause. */
export class PauseDetector implements types.Service {
  readonly #listeners: PauseListener[] = [];
  #timer: NodeJS.Timeout | undefined;
  #lastHeartbeatAt = 0;
  #lastResumedAt = Number.NEGATIVE_INFINITY;

  /** Monotonic time of the latest resume after a pause; minus infinity when there was none. */
  get lastResumeMilliseconds(): number {
    this.#checkHeartbeat();
    return this.#lastResumedAt;
  }

  start(): void {
    this.#lastHeartbeatAt = clock.getMonotonicMilliseconds();
    this.#timer = setInterval(() => this.#checkHeartbeat(), HEARTBEAT_MILLISECONDS);
    this.#timer.unref?.();
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Adds a listener that runs after each pause. */
  onResume(listener: PauseListener): void {
    this.#listeners.push(listener);
  }

  #checkHeartbeat(): void {
    if (this.#timer === undefined) {
      return;
    }
    const now = clock.getMonotonicMilliseconds();
    const delay = now - this.#lastHeartbeatAt - HEARTBEAT_MILLISECONDS;
    this.#lastHeartbeatAt = now;
    if (delay < PAUSE_THRESHOLD_MILLISECONDS) {
      return;
    }
    this.#lastResumedAt = now;
    for (const listener of this.#listeners) {
      listener(delay);
    }
  }
}

/** Service name of the pause detector. */
export const PAUSE_DETECTOR = kernel.createServiceName<PauseDetector>("pause-detector");
