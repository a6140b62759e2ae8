/**
 * The live list of targets.
 *
 * Changes come from the store and from other VMs, in any order and more than once. Each target's
 * latest change wins, by the store's revision, so the list never goes back. Targets that are gone
 * leave a marker behind, against older changes that still travel.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import type * as types from "./types.ts";

/** How long a marker of a target that is gone is kept. Outlives any message under way. */
const MARKER_RETENTION_MILLISECONDS = 60_000;

/** Of the Fowler-Noll-Vo hash with 32 bits. */
const FNV_PRIME = 16_777_619;

/** Called with each change that was taken. */
export type TargetChangeListener = (
  change: types.TargetChange,
  previous: types.TargetEntry | undefined,
) => void;

interface Slot {
  readonly change: types.TargetChange;
  readonly takenAt: number;
}

/** All targets known to one VM. */
export class TargetDirectory {
  readonly #slots = new Map<model.TargetId, Slot>();
  readonly #listeners: TargetChangeListener[] = [];
  #byService: Map<model.ServiceId, types.TargetEntry[]> | undefined;

  /** Takes a change unless a later one of the same target is known. */
  apply(change: types.TargetChange): boolean {
    const known = this.#slots.get(change.id);
    if (known !== undefined && known.change.revision >= change.revision) {
      return false;
    }
    this.#slots.set(change.id, { change, takenAt: kernel.getMonotonicMilliseconds() });
    this.#byService = undefined;
    const previous = known?.change.entry;
    for (const listener of this.#listeners) {
      listener(change, previous);
    }
    return true;
  }

  onChange(listener: TargetChangeListener): void {
    this.#listeners.push(listener);
  }

  /** The latest entry of a target; undefined when it is gone or unknown. */
  find(id: model.TargetId): types.TargetEntry | undefined {
    return this.#slots.get(id)?.change.entry;
  }

  /** Monotonic time, in milliseconds, at which the latest change of a target was taken. */
  getTakenAt(id: model.TargetId): number | undefined {
    return this.#slots.get(id)?.takenAt;
  }

  /** Targets of a service that take new requests. */
  listServing(service: model.ServiceId): readonly types.TargetEntry[] {
    this.#byService ??= this.#groupByService();
    return this.#byService.get(service) ?? [];
  }

  /** The latest change of every target, markers included. */
  listChanges(): types.TargetChange[] {
    return [...this.#slots.values()].map((slot) => slot.change);
  }

  /** A number that is the same on VMs that know the same changes; 0 without any. */
  getMark(): number {
    let mark = 0;
    for (const { change } of this.#slots.values()) {
      let hash = change.revision >>> 0;
      for (let index = 0; index < change.id.length; index++) {
        hash = Math.imul(hash ^ change.id.charCodeAt(index), FNV_PRIME);
      }
      // A sum, since the order of the changes differs.
      mark = (mark + (hash >>> 0)) % 2 ** 32;
    }
    return this.#slots.size === 0 ? 0 : Math.max(mark, 1);
  }

  /** Entries that the store no longer has, given the identifiers it has as of a revision. */
  listMissing(
    present: ReadonlySet<model.TargetId>,
    asOf: types.StoreRevision,
  ): types.TargetChange[] {
    const missing: types.TargetChange[] = [];
    for (const { change } of this.#slots.values()) {
      if (change.entry !== undefined && change.revision <= asOf && !present.has(change.id)) {
        missing.push({ id: change.id, revision: asOf, entry: undefined });
      }
    }
    return missing;
  }

  /** Drops markers that are older than any message under way. */
  discardMarkers(): void {
    const oldest = kernel.getMonotonicMilliseconds() - MARKER_RETENTION_MILLISECONDS;
    for (const [id, slot] of this.#slots) {
      if (slot.change.entry === undefined && slot.takenAt < oldest) {
        this.#slots.delete(id);
      }
    }
  }

  #groupByService(): Map<model.ServiceId, types.TargetEntry[]> {
    const groups = new Map<model.ServiceId, types.TargetEntry[]>();
    for (const { change: { entry } } of this.#slots.values()) {
      if (entry === undefined || entry.isDraining) {
        continue;
      }
      const group = groups.get(entry.service);
      if (group === undefined) {
        groups.set(entry.service, [entry]);
      } else {
        group.push(entry);
      }
    }
    return groups;
  }
}
