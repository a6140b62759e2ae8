/**
 * The fleet as one VM knows it for the division of rates, and whether it knows enough to take part.
 *
 * Designed for fleets of up to 300 VMs whose members find each other within a second, of which some
 * are cut off from the others for up to an hour. Several VMs that each took itself for the whole
 * fleet would exceed the rate of a target together. So a VM sends nothing of its part until its view
 * has stopped growing after its start, and it counts VMs that have disappeared as a part of the fleet
 * for a long time. VMs that start in a part of a fleet learn from the others how large it was.
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

/** Longest way of a report. Without it, a size would be younger after each VM that passes it on. */
const MAX_TRANSIT_MILLISECONDS = 2_000;

/** The largest size of a fleet that a VM remembers, and how long ago it was known. */
export type RememberedSize = readonly [size: number, agoMilliseconds: number];

interface SizeSample {
  readonly at: number;
  readonly size: number;
}

/** What one VM remembers of the members of its fleet. */
export class FleetMemory {
  readonly #startedAt = kernel.getMonotonicMilliseconds();
  #members: readonly rates.RateHolder[] = [];
  #known: ReadonlySet<model.VmId> = new Set();
  #grownAt = Number.NEGATIVE_INFINITY;
  /** Sizes within the retention period that no later one has reached, the largest first. */
  #sizes: SizeSample[] = [];

  /**
   * Records the members that are known now; to be called at least every few seconds.
   *
   * @param presentShare Share of the VMs known within the last seconds that are in contact.
   * @param isCutOff Whether this VM knows no other one although there should be some.
   */
  record(
    members: readonly rates.RateHolder[],
    presentShare: number,
    isCutOff = false,
  ): rates.RateFleet {
    const now = kernel.getMonotonicMilliseconds();
    const hasGrown = members.some(({ vm }) => !this.#known.has(vm));
    if (hasGrown) {
      this.#grownAt = now;
    }
    if (hasGrown || members.length !== this.#members.length) {
      this.#members = members;
      this.#known = new Set(members.map(({ vm }) => vm));
    }
    const size = members.length;
    this.#remember({ at: now, size });
    const largest = this.#sizes[0]?.size ?? size;
    const settledAt = Math.min(
      this.#grownAt + SETTLE_MILLISECONDS,
      this.#startedAt + MAX_SETTLE_MILLISECONDS,
    );
    return {
      // The same array while the members are the same, so that they are not ranked again.
      members: this.#members,
      presentShare: isCutOff ? 0 : Math.min(presentShare, size / largest),
      recentShare: presentShare,
      settlesInMilliseconds: Math.max(0, settledAt - now),
    };
  }

  /** The largest size, to be told to the other VMs; undefined before the first record. */
  get largest(): RememberedSize | undefined {
    const [first] = this.#sizes;
    return first === undefined
      ? undefined
      : [first.size, Math.round(kernel.getMonotonicMilliseconds() - first.at)];
  }

  /** Records what another VM remembers. Its age stays, so that VMs do not remind each other for ever. */
  adopt([size, agoMilliseconds]: RememberedSize): void {
    const age = agoMilliseconds + MAX_TRANSIT_MILLISECONDS;
    this.#remember({ at: kernel.getMonotonicMilliseconds() - age, size });
  }

  /** Keeps the sizes that no later one has reached. */
  #remember(added: SizeSample): void {
    const oldest = kernel.getMonotonicMilliseconds() - MEMORY_MILLISECONDS;
    const sizes = [...this.#sizes, added].filter(({ at }) => at > oldest)
      .sort((left, right) => left.at - right.at);
    this.#sizes = sizes.filter(({ size }, index) =>
      sizes.slice(index + 1).every((later) => later.size < size)
    );
  }
}
