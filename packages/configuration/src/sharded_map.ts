/**
 * Maps in many small parts.
 *
 * A JavaScript map of 150,000 entries now and then moves all of them at once, which stops the event
 * loop for longer than a request may wait. A part holds some hundred entries, so a move is short.
 * The part of an identifier is fixed, so the parts also give baselines a stable order.
 */

import * as kernel from "@hemlockwalk/kernel";

/** Number of parts of each map. A power of two. */
export const SHARD_COUNT = 256;

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** The part that an identifier belongs to, from 0: the low bits of its 32-bit FNV-1a hash. */
export function getShardIndex(id: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < id.length; index++) {
    hash = Math.imul(hash ^ id.charCodeAt(index), FNV_PRIME);
  }
  return (hash ^ (hash >>> 16)) & (SHARD_COUNT - 1);
}

/** A mutable map from identifiers to values, in parts. */
export interface EntityMap<Id extends string, Value> {
  readonly size: number;
  get(id: Id): Value | undefined;
  set(id: Id, value: Value): void;
  delete(id: Id): void;
  /** Copies one part. */
  copyShard(shard: number): Map<Id, Value>;
}

/** Holds values as they are. */
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
    return new Map(kernel.getDefined(this.#shards[shard], "A shard's index is below the count."));
  }

  #getShard(id: Id): Map<Id, Value> {
    return kernel.getDefined(this.#shards[getShardIndex(id)], "The index is masked.");
  }
}
