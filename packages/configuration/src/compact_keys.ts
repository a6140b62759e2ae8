/**
 * Stores callers' keys compactly: a 32-byte digest and a reference to the workspace's identifier.
 *
 * Keys are the most numerous entities. An object in a map takes about 180 bytes per key, this table
 * about 70. Each shard is a hash table with linear probing.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as shardedMap from "./sharded_map.ts";

const DIGEST_BYTES = 32;
const INITIAL_CAPACITY = 8;

/** A shard grows when a larger share of its slots is occupied. */
const MAXIMUM_LOAD_FACTOR = 0.7;

/** Keys by their digests. */
export class CompactKeys implements shardedMap.EntityMap<model.KeyDigest, model.Key> {
  readonly #shards = Array.from({ length: shardedMap.SHARD_COUNT }, () => new KeyShard());

  get size(): number {
    return this.#shards.reduce((sum, shard) => sum + shard.size, 0);
  }

  get(id: model.KeyDigest): model.Key | undefined {
    const workspace = this.#getShard(id).get(Buffer.from(id, "hex"));
    return workspace === undefined ? undefined : { digest: id, workspace };
  }

  set(id: model.KeyDigest, key: model.Key): void {
    this.#getShard(id).set(Buffer.from(id, "hex"), key.workspace);
  }

  delete(id: model.KeyDigest): void {
    this.#getShard(id).delete(Buffer.from(id, "hex"));
  }

  copyShard(shard: number): Map<model.KeyDigest, model.Key> {
    const copy = new Map<model.KeyDigest, model.Key>();
    for (const key of kernel.getDefined(this.#shards[shard], "The index is in range.").listKeys()) {
      copy.set(key.digest, key);
    }
    return copy;
  }

  #getShard(id: model.KeyDigest): KeyShard {
    return kernel.getDefined(this.#shards[shardedMap.getShardIndex(id)], "The index is in range.");
  }
}

/** One shard: digests stored contiguously in a buffer, and the workspace of each slot. */
class KeyShard {
  #digests = Buffer.alloc(INITIAL_CAPACITY * DIGEST_BYTES);
  #workspaces = createSlots(INITIAL_CAPACITY);
  #size = 0;

  get size(): number {
    return this.#size;
  }

  get(digest: Buffer): model.WorkspaceId | undefined {
    return this.#workspaces[this.#findSlot(digest)];
  }

  set(digest: Buffer, workspace: model.WorkspaceId): void {
    if (this.#size + 1 > this.#workspaces.length * MAXIMUM_LOAD_FACTOR) {
      this.#grow();
    }
    const slot = this.#findSlot(digest);
    if (this.#workspaces[slot] === undefined) {
      digest.copy(this.#digests, slot * DIGEST_BYTES);
      this.#size++;
    }
    this.#workspaces[slot] = workspace;
  }

  delete(digest: Buffer): void {
    let hole = this.#findSlot(digest);
    if (this.#workspaces[hole] === undefined) {
      return;
    }
    this.#size--;
    this.#workspaces[hole] = undefined;
    // Later entries whose probe sequence passes through the hole move into it to stay reachable.
    let slot = this.#getNextSlot(hole);
    while (this.#workspaces[slot] !== undefined) {
      if (
        this.#getProbeDistance(this.#getHomeSlot(slot), slot) >= this.#getProbeDistance(hole, slot)
      ) {
        this.#move(slot, hole);
        hole = slot;
      }
      slot = this.#getNextSlot(slot);
    }
  }

  *listKeys(): Generator<model.Key> {
    for (const [slot, workspace] of this.#workspaces.entries()) {
      if (workspace !== undefined) {
        const digest = this.#getDigest(slot).toString("hex") as model.KeyDigest;
        yield { digest, workspace };
      }
    }
  }

  /** Returns the slot that holds the digest, or the free slot where it would be inserted. */
  #findSlot(digest: Buffer): number {
    let slot = digest.readUInt32LE(0) & (this.#workspaces.length - 1);
    while (this.#workspaces[slot] !== undefined && !this.#holds(slot, digest)) {
      slot = this.#getNextSlot(slot);
    }
    return slot;
  }

  #holds(slot: number, digest: Buffer): boolean {
    const start = slot * DIGEST_BYTES;
    return this.#digests.compare(digest, 0, DIGEST_BYTES, start, start + DIGEST_BYTES) === 0;
  }

  #getDigest(slot: number): Buffer {
    return this.#digests.subarray(slot * DIGEST_BYTES, (slot + 1) * DIGEST_BYTES);
  }

  #getHomeSlot(slot: number): number {
    return this.#digests.readUInt32LE(slot * DIGEST_BYTES) & (this.#workspaces.length - 1);
  }

  #getNextSlot(slot: number): number {
    return (slot + 1) & (this.#workspaces.length - 1);
  }

  /** Returns the number of probe steps from one slot to another. */
  #getProbeDistance(from: number, to: number): number {
    return (to - from) & (this.#workspaces.length - 1);
  }

  #move(from: number, to: number): void {
    this.#digests.copyWithin(
      to * DIGEST_BYTES,
      from * DIGEST_BYTES,
      (from + 1) * DIGEST_BYTES,
    );
    this.#workspaces[to] = this.#workspaces[from];
    this.#workspaces[from] = undefined;
  }

  #grow(): void {
    const keys = [...this.listKeys()];
    const capacity = this.#workspaces.length * 2;
    this.#digests = Buffer.alloc(capacity * DIGEST_BYTES);
    this.#workspaces = createSlots(capacity);
    this.#size = 0;
    for (const key of keys) {
      this.set(Buffer.from(key.digest, "hex"), key.workspace);
    }
  }
}

function createSlots(capacity: number): (model.WorkspaceId | undefined)[] {
  return new Array<model.WorkspaceId | undefined>(capacity).fill(undefined);
}
