/**
 * How much of the store's history a copy of the list of targets covers.
 *
 * The store is the only writer, so its positions order all changes. A copy that is complete as of a
 * position knows every change up to it: a target that it does not hold, and whose change is not
 * later, has been removed. So a copy can tell a removed target from an unknown one without a
 * tombstone, however long ago the removal was, and no clock decides, which a VM that stood still
 * could not trust.
 *
 * A position is only confirmed for a copy that equals the store's list as of it: one that this VM
 * has read, a whole list of another VM, or a list with the same digest as that of another VM.
 */

import * as kernel from "@hemlockwalk/kernel";
import * as positions from "./store_position.ts";
import type * as types from "./types.ts";

/** What a copy tells of itself, by which two VMs find out whether one lacks something. */
export interface ListMark {
  /** Equal for copies with the same entries; 0 without entries. */
  readonly digest: number;
  /** Position as of which the copy is complete; undefined before the first one. */
  readonly asOf: types.StorePosition | undefined;
  /** Position of the latest change that the copy has taken in; undefined without one. */
  readonly latest: types.StorePosition | undefined;
}

/** A change as far as coverage depends on it. */
export interface CoveredChange {
  readonly id: string;
  readonly position: types.StorePosition;
  /** Undefined once it is removed. */
  readonly entry: unknown;
}

/** Keeps the mark of one copy. */
export class ListCoverage {
  #asOf: types.StorePosition | undefined;
  #latest: types.StorePosition | undefined;
  /** Sum of the hashes of all entries, which does not depend on their order. */
  #sum = 0;
  #entries = 0;

  get mark(): ListMark {
    const digest = this.#entries === 0 ? 0 : Math.max(this.#sum, 1);
    return { digest, asOf: this.#asOf, latest: this.#latest };
  }

  /** Whether the copy knows everything that happened up to a position. */
  covers(position: types.StorePosition): boolean {
    return this.#asOf !== undefined && !positions.isLaterPosition(position, this.#asOf);
  }

  /** Records that a change has replaced the known one of its target, if there was one. */
  record(change: CoveredChange, replaced: CoveredChange | undefined): void {
    this.#count(replaced, -1);
    this.#count(change, 1);
    this.#latest = getLater(this.#latest, change.position);
  }

  /** Records that the copy is complete as of a position; an earlier one changes nothing. */
  confirm(asOf: types.StorePosition): void {
    this.#asOf = getLater(this.#asOf, asOf);
    this.#latest = getLater(this.#latest, asOf);
  }

  /** Records that another copy is complete as of a position, which holds for an equal one too. */
  confirmEqual(other: ListMark): void {
    if (other.asOf !== undefined && other.digest === this.mark.digest) {
      this.confirm(other.asOf);
    }
  }

  /** Whether a copy with the given mark may hold something that this one lacks. */
  isBehind(other: ListMark): boolean {
    if (this.#asOf === undefined) {
      return other.asOf !== undefined || (other.digest !== 0 && other.digest !== this.mark.digest);
    }
    return other.digest !== this.mark.digest && other.latest !== undefined &&
      !positions.isLaterPosition(this.#asOf, other.latest);
  }

  #count(change: CoveredChange | undefined, sign: 1 | -1): void {
    if (change?.entry === undefined) {
      return;
    }
    const { id, position: { era, revision } } = change;
    const hash = kernel.spreadHash(kernel.hashText(`${id} ${era} ${revision}`));
    this.#sum = (this.#sum + sign * hash + 2 ** 32) % 2 ** 32;
    this.#entries += sign;
  }
}

function getLater(
  known: types.StorePosition | undefined,
  other: types.StorePosition,
): types.StorePosition {
  return known === undefined || positions.isLaterPosition(other, known) ? other : known;
}
