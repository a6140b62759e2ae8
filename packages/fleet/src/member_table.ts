/**
 * The entries that one VM holds about the fleet, with digests by which two VMs find differences.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as entries from "./member_entry.ts";
import * as rendezvous from "./rendezvous.ts";

/** Digests are kept for each of so many groups of VMs, so that few entries need comparing. */
export const BUCKETS = 64;

/** Changes that are remembered for telling neighbours. */
const MAX_LOG = 2_048;

interface Row {
  readonly entry: entries.MemberEntry;
  /** When this VM took the entry over. */
  readonly since: number;
}

/** Entries by VM. */
export class MemberTable {
  readonly #rows = new Map<model.VmId, Row>();
  readonly #digests = new Uint32Array(BUCKETS);
  readonly #log: model.VmId[] = [];
  #logStart = 0;

  /** Position behind the latest change. */
  get logEnd(): number {
    return this.#logStart + this.#log.length;
  }

  /** One number that is the same for two tables with the same entries, but for dead VMs. */
  get digest(): number {
    let digest = 0;
    for (let bucket = 0; bucket < BUCKETS; bucket++) {
      digest = (Math.imul(digest, 31) + (this.#digests[bucket] ?? 0)) >>> 0;
    }
    return digest;
  }

  get(vm: model.VmId): entries.MemberEntry | undefined {
    return this.#rows.get(vm)?.entry;
  }

  /** When the present entry of a VM was taken over. */
  getSince(vm: model.VmId): number {
    return this.#rows.get(vm)?.since ?? Number.NEGATIVE_INFINITY;
  }

  /** All entries, those of dead VMs included. */
  *list(): Iterable<entries.MemberEntry> {
    for (const row of this.#rows.values()) {
      yield row.entry;
    }
  }

  /**
   * Takes an entry over when it overrides the present one.
   *
   * @param isNews Whether neighbours shall be told.
   */
  merge(entry: entries.MemberEntry, isNews: boolean): boolean {
    const present = this.#rows.get(entry.vm);
    if (present !== undefined && !entries.overrides(entry, present.entry)) {
      return false;
    }
    // The death of a VM that was never known is not worth an entry.
    if (present === undefined && entry.health === "dead") {
      return false;
    }
    this.#toggleDigest(present?.entry);
    this.#toggleDigest(entry);
    this.#rows.set(entry.vm, { entry, since: kernel.getMonotonicMilliseconds() });
    if (isNews) {
      this.#addToLog(entry.vm);
    }
    return true;
  }

  /** Starts the age of an entry anew. */
  restartAge(vm: model.VmId): void {
    const row = this.#rows.get(vm);
    if (row !== undefined) {
      this.#rows.set(vm, { entry: row.entry, since: kernel.getMonotonicMilliseconds() });
    }
  }

  /** Forgets a dead VM. */
  remove(vm: model.VmId): void {
    this.#toggleDigest(this.get(vm));
    this.#rows.delete(vm);
  }

  /** Entries that changed since a position of the log, at most so many, and the next position. */
  listNews(
    from: number,
    limit: number,
  ): { readonly news: readonly entries.MemberEntry[]; readonly next: number } {
    const changed = new Set<model.VmId>();
    let position = Math.max(from, this.#logStart);
    while (position < this.logEnd && changed.size < limit) {
      changed.add(
        kernel.getDefined(this.#log[position - this.#logStart], "The position is in the log."),
      );
      position++;
    }
    const news = [...changed].map((vm) => this.get(vm)).filter((entry) => entry !== undefined);
    return { news, next: position };
  }

  listBucketDigests(): number[] {
    return [...this.#digests];
  }

  /** Entries of the groups whose digests differ, dead VMs included. */
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
    if (this.#log.length > MAX_LOG) {
      const dropped = this.#log.length - MAX_LOG / 2;
      this.#log.splice(0, dropped);
      this.#logStart += dropped;
    }
  }
}

function getBucket(vm: model.VmId): number {
  return rendezvous.hashText(vm) % BUCKETS;
}
