/**
 * Maps that are split into many small shards.
 *
 * When a JavaScript map of 150,000 entries is resized, all entries are moved at once, which blocks
 * the event loop for longer than a request may wait. A shard holds a few hundred entries, so its
 * resizing is short. The shard of an identifier is fixed, so shards also give baselines a stable
 * order.
 */

import * as kernel from "@hemlockwalk/kernel";

/** Number of shards of each map, a power of two. */
export const SHARD_COUNT = 256;

/** Returns the shard of an identifier, derived from the low bits of its 32-bit FNV-1a hash. */
export function getShardIndex(id: string): number {
  const hash = kernel.hashText(id);
  return (hash ^ (hash >>> 16)) & (SHARD_COUNT - 1);
}

/** A mutable, sharded map from identifiers to values. */
export interface EntityMap<Id extends string, Value> {
  readonly size: number;
  get(id: Id): Value | undefined;
  set(id: Id, value: Value): void;
  delete(id: Id): void;
  /** Copies one shard. */
  copyShard(shard: number): Map<Id, Value>;
}

/** A sharded map that stores its values unchanged. */
export class ShardedMap<Id extends string, Value> implements EntityMap<Id, Value> {
  readonly #shards = Array.from({ length: SHARD_COUNT }, () => new Map<Id, Value>());
  #size = 0;

  get size(): number {
    return this.#size;
  }

  get(id: Id): Value | undefined {
    return this.#getShard(id).get(id);
  }

  set(id: Id, value: Value): void {
    const shard = this.#getShard(id);
    const before = shard.size;
    shard.set(id, value);
    this.#size += shard.size - before;
  }

  delete(id: Id): void {
    if (this.#getShard(id).delete(id)) {
      this.#size--;
    }
  }

  copyShard(shard: number): Map<Id, Value> {
    return new Map(kernel.getDefined(this.#shards[shard], "The index is in range."));
  }

  #getShard(id: Id): Map<Id, Value> {
    return kernel.getDefined(this.#shards[getShardIndex(id)], "The index is in range.");
  }
}
