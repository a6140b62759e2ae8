/**
 * The current list of targets.
 *
 * Changes arrive from the store and from other VMs, in any order and more than once. For each
 * target, the change with the highest store revision wins, so the list never reverts to an older
 * state. A removed target leaves a tombstone, so that an older change that arrives later does not
 * restore it.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import type * as types from "./types.ts";

/** Time for which the tombstone of a removed target is kept; longer than any message's delay. */
const TOMBSTONE_RETENTION_MILLISECONDS = 60_000;

/** Prime of the 32-bit Fowler-Noll-Vo hash. */
const FNV_PRIME = 16_777_619;

/** Called with each change that was applied. */
export type TargetChangeListener = (
  change: types.TargetChange,
  previous: types.TargetEntry | undefined,
) => void;

interface AppliedChange {
  readonly change: types.TargetChange;
  readonly appliedAt: number;
}

/** All targets known to one VM. */
export class TargetDirectory {
  readonly #appliedChanges = new Map<model.TargetId, AppliedChange>();
  readonly #listeners: TargetChangeListener[] = [];
  #byService: Map<model.ServiceId, types.TargetEntry[]> | undefined;

  /** Applies a change and returns `true`, unless the same or a later one of the target is known. */
  apply(change: types.TargetChange): boolean {
    const known = this.#appliedChanges.get(change.id);
    if (known !== undefined && known.change.revision >= change.revision) {
      return false;
    }
    this.#appliedChanges.set(change.id, { change, appliedAt: kernel.getMonotonicMilliseconds() });
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

  /** The latest entry of a target; undefined when it was removed or is unknown. */
  find(id: model.TargetId): types.TargetEntry | undefined {
    return this.#appliedChanges.get(id)?.change.entry;
  }

  /** Monotonic time, in milliseconds, at which the latest change of a target was applied. */
  getAppliedAt(id: model.TargetId): number | undefined {
    return this.#appliedChanges.get(id)?.appliedAt;
  }

  /** Targets of a service that accept new requests. */
  listServing(service: model.ServiceId): readonly types.TargetEntry[] {
    this.#byService ??= this.#groupByService();
    return this.#byService.get(service) ?? [];
  }

  /** The latest change of every target, tombstones included. */
  listChanges(): types.TargetChange[] {
    return [...this.#appliedChanges.values()].map((applied) => applied.change);
  }

  /** Digest that is equal on VMs that hold the same changes; 0 without changes. */
  getDigest(): number {
    let digest = 0;
    for (const { change } of this.#appliedChanges.values()) {
      let hash = change.revision >>> 0;
      for (let index = 0; index < change.id.length; index++) {
        hash = Math.imul(hash ^ change.id.charCodeAt(index), FNV_PRIME);
      }
      // A sum does not depend on the order of the changes, which differs between VMs.
      digest = (digest + (hash >>> 0)) % 2 ** 32;
    }
    return this.#appliedChanges.size === 0 ? 0 : Math.max(digest, 1);
  }

  /** Removals of the entries that the store no longer holds, given those it holds at a revision. */
  listMissing(
    present: ReadonlySet<model.TargetId>,
    asOf: types.StoreRevision,
  ): types.TargetChange[] {
    const missing: types.TargetChange[] = [];
    for (const { change } of this.#appliedChanges.values()) {
      if (change.entry !== undefined && change.revision <= asOf && !present.has(change.id)) {
        missing.push({ id: change.id, revision: asOf, entry: undefined });
      }
    }
    return missing;
  }

  /** Discards tombstones that are older than any message's delay. */
  discardTombstones(): void {
    const oldest = kernel.getMonotonicMilliseconds() - TOMBSTONE_RETENTION_MILLISECONDS;
    for (const [id, applied] of this.#appliedChanges) {
      if (applied.change.entry === undefined && applied.appliedAt < oldest) {
        this.#appliedChanges.delete(id);
      }
    }
  }

  #groupByService(): Map<model.ServiceId, types.TargetEntry[]> {
    const groups = new Map<model.ServiceId, types.TargetEntry[]>();
    for (const { change: { entry } } of this.#appliedChanges.values()) {
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
