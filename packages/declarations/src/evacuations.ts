/**
 * Orders to evacuate data centres: as long as one is in force, nothing is to be sent to the targets
 * of that data centre.
 *
 * Orders arrive from the store and from other VMs, in any order and more than once. For each data
 * centre, the change at the latest position of the store wins, and a withdrawal leaves a tombstone.
 * Copies are always exchanged as a whole: an order that a copy lacks, although it is complete as of
 * a later position, has been withdrawn. So a VM that was paused or cut off neither brings a
 * withdrawn order back nor drops one in force.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as coverage from "./list_coverage.ts";
import * as positions from "./store_position.ts";
import type * as types from "./types.ts";

/** Time after a withdrawal for which the targets of the data centre carry the cost of a warm-up. */
export const RETURN_MILLISECONDS = 5_000;

/** Time for which tombstones are kept at least. */
const RETENTION_MILLISECONDS = 60_000;

/** The whole copy of one VM. */
export interface EvacuationList {
  readonly mark: coverage.ListMark;
  readonly changes: readonly types.EvacuationChange[];
}

/** An order in force. */
export interface EvacuationOrder {
  readonly dataCentre: model.DataCentreId;
  readonly position: types.StorePosition;
  /** Monotonic time at which this VM learnt of the order, in milliseconds. */
  readonly since: number;
}

/** Called with each change that was applied. */
export type EvacuationListener = (change: types.EvacuationChange) => void;

interface AppliedChange {
  readonly change: types.EvacuationChange;
  /** Monotonic time since which the data centre has been evacuated, or is so no longer. */
  readonly since: number;
  /** Monotonic time at which an order was withdrawn that was in force here. */
  readonly withdrawnAt: number;
}

/** All orders known to one VM. */
export class Evacuations {
  readonly #applied = new Map<model.DataCentreId, AppliedChange>();
  readonly #coverage = new coverage.ListCoverage();
  readonly #changeListeners: EvacuationListener[] = [];
  readonly #confirmListeners: (() => void)[] = [];

  /** What this copy covers, as it is told to other VMs. */
  get mark(): coverage.ListMark {
    return this.#coverage.mark;
  }

  /** Called with each change that was applied. */
  onChange(listener: EvacuationListener): void {
    this.#changeListeners.push(listener);
  }

  /** Called each time the copy is known to be complete as of a position. */
  onConfirm(listener: () => void): void {
    this.#confirmListeners.push(listener);
  }

  isEvacuated(dataCentre: model.DataCentreId): boolean {
    return this.#applied.get(dataCentre)?.change.isEvacuated === true;
  }

  /** Time for which targets of a data centre still carry the cost of a warm-up, in milliseconds. */
  getReturnMilliseconds(dataCentre: model.DataCentreId): number {
    const applied = this.#applied.get(dataCentre);
    if (applied === undefined || applied.change.isEvacuated) {
      return 0;
    }
    const passed = kernel.getMonotonicMilliseconds() - applied.withdrawnAt;
    return Math.max(0, RETURN_MILLISECONDS - passed);
  }

  listOrders(): EvacuationOrder[] {
    return [...this.#applied.values()]
      .filter(({ change }) => change.isEvacuated)
      .map(({ change: { dataCentre, position }, since }) => ({ dataCentre, position, since }));
  }

  /** The whole copy, withdrawals included. */
  createList(): EvacuationList {
    return { mark: this.mark, changes: [...this.#applied.values()].map(({ change }) => change) };
  }

  /** Whether a copy with the given mark may hold something that this one lacks. */
  isBehind(other: coverage.ListMark): boolean {
    return this.#coverage.isBehind(other);
  }

  /**
   * Applies a change and returns `true`, unless the same or a later one of the data centre is known,
   * or the order has been withdrawn since.
   *
   * @param listAsOf Position as of which the whole list is complete that contains the change;
   * undefined if it is not part of a whole list.
   */
  apply(change: types.EvacuationChange, listAsOf?: types.StorePosition): boolean {
    const known = this.#applied.get(change.dataCentre);
    if (known !== undefined && !positions.isLaterPosition(change.position, known.change.position)) {
      return false;
    }
    const wasEvacuated = known?.change.isEvacuated === true;
    if (change.isEvacuated && !wasEvacuated && this.#isWithdrawn(change, listAsOf)) {
      return false;
    }
    const now = kernel.getMonotonicMilliseconds();
    this.#applied.set(change.dataCentre, {
      change,
      since: known !== undefined && wasEvacuated === change.isEvacuated ? known.since : now,
      withdrawnAt: wasEvacuated && !change.isEvacuated
        ? now
        : known?.withdrawnAt ?? Number.NEGATIVE_INFINITY,
    });
    this.#coverage.record(
      createCovered(change),
      known === undefined ? undefined : createCovered(known.change),
    );
    this.#changeListeners.forEach((listener) => listener(change));
    return true;
  }

  /** Records that this copy is the store's as of a position; an earlier one changes nothing. */
  confirm(asOf: types.StorePosition): void {
    this.#coverage.confirm(asOf);
    this.#confirmListeners.forEach((listener) => listener());
  }

  /** Withdrawals of the orders that the store no longer holds, given those that it holds. */
  listMissing(
    present: ReadonlySet<model.DataCentreId>,
    asOf: types.StorePosition,
  ): types.EvacuationChange[] {
    return this.#listWithdrawals(
      asOf,
      ({ dataCentre, position }) =>
        position.era === asOf.era && !positions.isLaterPosition(position, asOf) &&
        !present.has(dataCentre),
    );
  }

  /** Withdrawals of the orders of earlier eras, which the store of a later era does not hold. */
  listOutdated(asOf: types.StorePosition): types.EvacuationChange[] {
    return this.#listWithdrawals(asOf, ({ position }) => position.era < asOf.era);
  }

  /** Whether another copy is complete as of a later position, so that what it lacks is withdrawn. */
  isSuperseded(list: EvacuationList): boolean {
    return list.mark.asOf !== undefined && !this.#coverage.covers(list.mark.asOf);
  }

  /** Applies the changes in another VM's copy; returns those that were new. */
  mergeChanges(list: EvacuationList): types.EvacuationChange[] {
    const applied = list.changes.filter((change) => this.apply(change, list.mark.asOf));
    this.#coverage.confirmEqual(list.mark);
    this.#confirmListeners.forEach((listener) => listener());
    return applied;
  }

  /** Withdraws what another VM's copy lacks, if it supersedes this one; returns the withdrawals. */
  mergeWithdrawals(list: EvacuationList): types.EvacuationChange[] {
    const { asOf } = list.mark;
    if (asOf === undefined || !this.isSuperseded(list)) {
      return [];
    }
    const present = new Set(
      list.changes.filter(({ isEvacuated }) => isEvacuated).map(({ dataCentre }) => dataCentre),
    );
    const applied = this.#listWithdrawals(
      asOf,
      ({ dataCentre, position }) =>
        !present.has(dataCentre) && !positions.isLaterPosition(position, asOf),
    ).filter((change) => this.apply(change));
    this.confirm(asOf);
    return applied;
  }

  /** Discards the tombstones that this copy does without. */
  discardExpired(): void {
    const oldest = kernel.getMonotonicMilliseconds() - RETENTION_MILLISECONDS;
    for (const [dataCentre, { change, since }] of this.#applied) {
      if (!change.isEvacuated && since < oldest && this.#coverage.covers(change.position)) {
        this.#applied.delete(dataCentre);
      }
    }
  }

  /**
   * Whether an order that this copy does not hold has been withdrawn: the copy is complete as of a
   * later position, and the order is not from a list that is as complete.
   */
  #isWithdrawn(
    change: types.EvacuationChange,
    listAsOf: types.StorePosition | undefined,
  ): boolean {
    const { asOf } = this.#coverage.mark;
    const isFromCurrentList = asOf !== undefined && listAsOf !== undefined &&
      !positions.isLaterPosition(asOf, listAsOf);
    return this.#coverage.covers(change.position) && !isFromCurrentList;
  }

  #listWithdrawals(
    asOf: types.StorePosition,
    isWithdrawn: (change: types.EvacuationChange) => boolean,
  ): types.EvacuationChange[] {
    return [...this.#applied.values()]
      .filter(({ change }) => change.isEvacuated && isWithdrawn(change))
      .map(({ change: { dataCentre } }) => ({ dataCentre, position: asOf, isEvacuated: false }));
  }
}

function createCovered(change: types.EvacuationChange): coverage.CoveredChange {
  const { dataCentre, position, isEvacuated } = change;
  return { id: dataCentre, position, entry: isEvacuated ? true : undefined };
}
