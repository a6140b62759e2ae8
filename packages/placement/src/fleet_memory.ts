/**
 * The fleet as one VM knows it for the division of rates, and whether it knows enough to take part.
 *
 * Designed for fleets of up to 300 VMs whose members find each other within a second, of which some
 * are cut off from the others for up to an hour. Several VMs that each took itself for the whole
 * fleet would exceed the rate of a target together. So a VM sends nothing of its part until its view
 * has stopped growing after its start, and it counts VMs that have disappeared as a part of the fleet
 * for a long time.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import type * as rates from "./target_rates.ts";

/** A VM that has started uses no part until no member was added for this time. */
const SETTLE_MILLISECONDS = 600;

/** After this time from its start, a VM uses its part even while members are still added. */
const MAX_SETTLE_MILLISECONDS = 5_000;

/**
 * Time for which the largest size counts. It is long compared with the time for which a target is
 * cold, and short enough for a fleet that was made smaller on purpose.
 */
const MEMORY_MILLISECONDS = 600_000;

/** What one VM remembers of the members of its fleet. */
export class FleetMemory {
  readonly #startedAt = kernel.getMonotonicMilliseconds();
  #known: ReadonlySet<model.VmId> = new Set();
  #grownAt = Number.NEGATIVE_INFINITY;
  /** Sizes within the retention period that no later one has reached, the largest first. */
  #sizes: { readonly at: number; readonly size: number }[] = [];

  /**
   * Records the members that are known now; to be called at least every few seconds.
   *
   * @param presentShare Share of the VMs known within the last seconds that are in contact.
   */
  record(members: readonly rates.RateHolder[], presentShare: number): rates.RateFleet {
    const now = kernel.getMonotonicMilliseconds();
    if (members.some(({ vm }) => !this.#known.has(vm))) {
      this.#grownAt = now;
    }
    this.#known = new Set(members.map(({ vm }) => vm));
    const size = members.length;
    this.#sizes = this.#sizes.filter((sample) =>
      sample.at > now - MEMORY_MILLISECONDS && sample.size > size
    );
    this.#sizes.push({ at: now, size });
    const largest = this.#sizes[0]?.size ?? size;
    const settledAt = Math.min(
      this.#grownAt + SETTLE_MILLISECONDS,
      this.#startedAt + MAX_SETTLE_MILLISECONDS,
    );
    return {
      members,
      presentShare: Math.min(presentShare, size / largest),
      settlesInMilliseconds: Math.max(0, settledAt - now),
    };
  }
}
