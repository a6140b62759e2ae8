/**
 * Tracks when any VM was last known to reach the platform.
 */

import * as kernel from "@hemlockwalk/kernel";

/** The most recent contact with the platform, from this VM's own calls and the reports of peers. */
export class PlatformContact {
  #lastContactAt = Number.NEGATIVE_INFINITY;

  /** Time since the last contact; undefined while none is known. */
  get ageMilliseconds(): number | undefined {
    const age = kernel.getMonotonicMilliseconds() - this.#lastContactAt;
    return Number.isFinite(age) ? age : undefined;
  }

  /** Records that a VM reached the platform the given time ago. */
  record(ageMilliseconds = 0): void {
    const time = kernel.getMonotonicMilliseconds() - ageMilliseconds;
    this.#lastContactAt = Math.max(this.#lastContactAt, time);
  }
}
