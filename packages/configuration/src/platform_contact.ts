/**
 * When any VM was last known to reach the platform.
 */

import * as kernel from "@hemlockwalk/kernel";

/** Combines this VM's own calls with what peers tell. */
export class PlatformContact {
  #latest = Number.NEGATIVE_INFINITY;

  /** Undefined while no contact is known. */
  get ageMilliseconds(): number | undefined {
    const age = kernel.getMonotonicMilliseconds() - this.#latest;
    return Number.isFinite(age) ? age : undefined;
  }

  /** Records that a VM reached the platform, this long ago. */
  record(ageMilliseconds = 0): void {
    const time = kernel.getMonotonicMilliseconds() - ageMilliseconds;
    this.#latest = Math.max(this.#latest, time);
  }
}
