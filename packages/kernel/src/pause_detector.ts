/**
 * Notices that the process did not run for a while.
 *
 * A VM that was paused wakes with an old view of the world. A short heartbeat timer that fires late
 * shows it. Measurements and evidence that span a pause are void.
 */

import * as clock from "./clock.ts";
import * as kernel from "./kernel.ts";
import type * as types from "./types.ts";

const HEARTBEAT_MILLISECONDS = 50;

/** A heartbeat this late counts as a pause. */
const PAUSE_THRESHOLD_MILLISECONDS = 250;

/** Called with the length of the pause in milliseconds. */
export type PauseListener = (milliseconds: number) => void;

/** Service that tells when the process resumed after a pause. */
export class PauseDetector implements types.Service {
  readonly #listeners: PauseListener[] = [];
  #timer: NodeJS.Timeout | undefined;
  #lastBeat = 0;
  #lastResume = Number.NEGATIVE_INFINITY;

  /** Monotonic time of the latest resume after a pause; minus infinity when there was none. */
  get lastResumeMilliseconds(): number {
    this.#beat();
    return this.#lastResume;
  }

  start(): void {
    this.#lastBeat = clock.getMonotonicMilliseconds();
    this.#timer = setInterval(() => this.#beat(), HEARTBEAT_MILLISECONDS);
    this.#timer.unref?.();
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Adds a listener that runs after each pause. */
  onResume(listener: PauseListener): void {
    this.#listeners.push(listener);
  }

  #beat(): void {
    if (this.#timer === undefined) {
      return;
    }
    const now = clock.getMonotonicMilliseconds();
    const late = now - this.#lastBeat - HEARTBEAT_MILLISECONDS;
    this.#lastBeat = now;
    if (late < PAUSE_THRESHOLD_MILLISECONDS) {
      return;
    }
    this.#lastResume = now;
    for (const listener of this.#listeners) {
      listener(late);
    }
  }
}

/** The name under which the pause detector is found. */
export const PAUSE_DETECTOR = kernel.createServiceName<PauseDetector>("pause-detector");
