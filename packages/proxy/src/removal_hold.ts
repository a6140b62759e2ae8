/**
 * The time in which removals are held back: entries that expired while the store was unavailable,
 * or that a restored store lacks, are registered again soon after its return.
 */

import * as kernel from "@hemlockwalk/kernel";

/** Targets register again within two seconds of the store's return. */
const HOLD_MILLISECONDS = 2_300;

/** Whether this VM holds removals back at present. */
export class RemovalHold {
  #begunAt = Number.NEGATIVE_INFINITY;
  #isCertain = false;

  /**
   * @param isCertain Whether the store was surely away, and this VM did not only stand still. After
   * a standstill, the lists of other VMs are followed at once.
   */
  begin(isCertain: boolean): void {
    this.#isCertain = isCertain || (this.isActive && this.#isCertain);
    this.#begunAt = kernel.getMonotonicMilliseconds();
  }

  /** Whether removals that this VM reads from the store are held back. */
  get isActive(): boolean {
    return kernel.getMonotonicMilliseconds() - this.#begunAt < HOLD_MILLISECONDS;
  }

  /** Whether removals that follow from the lists of other VMs are held back, too. */
  get isCertain(): boolean {
    return this.isActive && this.#isCertain;
  }
}
