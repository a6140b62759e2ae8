/**
 * How much of a target's room a request may take, by its rank among the requests for the service.
 *
 * Load that this answers: a service whose slots are nearly taken by long work of little urgency, so
 * that short urgent work finds none. The most urgent may also wait at a target beyond its slots; the
 * least urgent leave some slots free where a target has several.
 */

import * as kernel from "@hemlockwalk/kernel";

/** Ranks that were not seen for so long no longer count. */
const SEEN_MILLISECONDS = 5_000;

/** Requests beyond a target's slots, for the most urgent only. */
const URGENT_OVERFLOW = 2;

/** Share of each target's slots that the least urgent leave free, rounded down. */
const RESERVED_SHARE = 1 / 3;

/** Ranks seen lately among the requests for one service. */
export class UrgencyTracker {
  readonly #seenAt = new Map<number, number>();

  /** Notes a request's rank, 0 being the most urgent. */
  note(priority: number): void {
    this.#seenAt.set(priority, kernel.getMonotonicMilliseconds());
  }

  /** Requests beyond (or, if negative, below) a target's slots that a request may be one of. */
  getOverflow(priority: number, slots: number): number {
    const oldest = kernel.getMonotonicMilliseconds() - SEEN_MILLISECONDS;
    let isMostUrgent = true;
    let isLeastUrgent = true;
    for (const [other, seenAt] of this.#seenAt) {
      if (seenAt < oldest) {
        this.#seenAt.delete(other);
        continue;
      }
      isMostUrgent &&= other >= priority;
      isLeastUrgent &&= other <= priority;
    }
    if (isMostUrgent) {
      return URGENT_OVERFLOW;
    }
    // A plain zero: the negative one is another value to a strict comparison.
    const reserved = isLeastUrgent ? Math.floor(slots * RESERVED_SHARE) : 0;
    return reserved === 0 ? 0 : -reserved;
  }
}
