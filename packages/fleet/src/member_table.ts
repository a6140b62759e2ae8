/**
 * The entries that one VM holds about the fleet, with digests by which two VMs find those that
 * differ.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as entries from "./member_entry.ts";
import * as rendezvous from "./rendezvous.ts";

/** Number of groups of VMs with a digest each, so that few entries have to be compared. */
export const BUCKET_COUNT = 64;

/** Maximum number of changes kept in the log from which neighbours are updated. */
const MAX_LOG_ENTRIES = 2_048;

interface Row {
  readonly entry: entries.MemberEntry;
  /** When this VM applied the entry, or last reset its age. */
  readonly updatedAt: number;
}

/** Entries by VM. */
export class MemberTable {
  readonly #rows = new Map<model.VmId, Row>();
  readonly #digests = new Uint32Array(BUCKET_COUNT);
  readonly #log: model.VmId[] = [];
  #logStart = 0;

  /** Log position after the latest change. */
  get logEnd(): number {
    return this.#logStart + this.#log.length;
  }

  /** A digest that is the same for two tables with the same entries, apart from dead VMs. */
  get digest(): number {
    let digest = 0;
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
      digest = (Math.imul(digest, 31) + (this.#digests[bucket] ?? 0)) >>> 0;
    }
    return digest;
  }

  get(vm: model.VmId): entries.MemberEntry | undefined {
    return this.#rows.get(vm)?.entry;
  }

  /** When the current entry of a VM was applied, or its age last reset. */
  getUpdatedAt(vm: model.VmId): number {
    return this.#rows.get(vm)?.updatedAt ?? Number.NEGATIVE_INFINITY;
  }

  /** All entries, those of dead VMs included. */
  *list(): Iterable<entries.MemberEntry> {
    for (const row of this.#rows.values()) {
      yield row.entry;
    }
  }

  /**
   * Applies an entry if it overrides the current one.
   *
   * @param isUpdate Whether to add the change to the log, so that neighbours receive it.
   * @returns Whether the entry was applied.
   */
  merge(entry: entries.MemberEntry, isUpdate: boolean): boolean {
    const present = this.#rows.get(entry.vm);
    if (present !== undefined && !entries.overrides(entry, present.entry)) {
      return false;
    }
    // A dead VM without an earlier entry needs none.
    if (present === undefined && entry.health === "dead") {
      return false;
    }
    this.#toggleDigest(present?.entry);
    this.#toggleDigest(entry);
    this.#rows.set(entry.vm, { entry, updatedAt: kernel.getMonotonicMilliseconds() });
    if (isUpdate) {
      this.#addToLog(entry.vm);
    }
    return true;
  }

  /** Resets the age of an entry to zero. */
  resetAge(vm: model.VmId): void {
    const row = this.#rows.get(vm);
    if (row !== undefined) {
      this.#rows.set(vm, { entry: row.entry, updatedAt: kernel.getMonotonicMilliseconds() });
    }
  }

  /** Removes the entry of a VM. */
  remove(vm: model.VmId): void {
    this.#toggleDigest(this.get(vm));
    this.#rows.delete(vm);
  }

  /**
   * Lists the entries that changed since a position of the log.
   *
   * @param limit Maximum number of entries.
   * @returns The entries, and the position from which to continue.
   */
  listChanges(
    from: number,
    limit: number,
  ): { readonly changes: readonly entries.MemberEntry[]; readonly next: number } {
    const changedVms = new Set<model.VmId>();
    let position = Math.max(from, this.#logStart);
    while (position < this.logEnd && changedVms.size < limit) {
      changedVms.add(
        kernel.getDefined(this.#log[position - this.#logStart], "The position is in the log."),
      );
      position++;
    }
    const changes = [...changedVms].map((vm) => this.get(vm)).filter((entry) =>
      entry !== undefined
    );
    return { changes, next: position };
  }

  listBucketDigests(): number[] {
    return [...this.#digests];
  }

  /** Entries of the groups whose digests differ from the given ones, dead VMs included. */
  listDiffering(digests: readonly number[]): entries.MemberEntry[] {
    const differing: entries.MemberEntry[] = [];
    for (const entry of this.list()) {
      const bucket = getBucket(entry.vm);
      if (digests[bucket] !== this.#digests[bucket]) {
        differing.push(entry);
      }
    }
    return differing;
  }

  #toggleDigest(entry: entries.MemberEntry | undefined): void {
    if (entry !== undefined) {
      const bucket = getBucket(entry.vm);
      this.#digests[bucket] = (this.#digests[bucket] ?? 0) ^ entries.hashEntry(entry);
    }
  }

  #addToLog(vm: model.VmId): void {
    this.#log.push(vm);
    if (this.#log.length > MAX_LOG_ENTRIES) {
      const dropped = this.#log.length - MAX_LOG_ENTRIES / 2;
      this.#log.splice(0, dropped);
      this.#logStart += dropped;
    }
  }
}

function getBucket(vm: model.VmId): number {
  return rendezvous.hashText(vm) % BUCKET_COUNT;
}
