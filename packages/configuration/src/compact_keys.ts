/**
 * Callers' keys in compact form: 32 bytes of digest and a reference to the workspace's identifier.
 *
 * Keys are the most numerous entities. As objects in a map each takes about 180 bytes; here it takes
 * about 70. Each part is a hash table with linear probing.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as shardedMap from "./sharded_map.ts";

const DIGEST_BYTES = 32;
const INITIAL_CAPACITY = 8;

/** A part grows when more than this share of its places is taken. */
const HIGHEST_LOAD = 0.7;

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
    for (const key of kernel.getDefined(this.#shards[shard], "The index is valid.").listKeys()) {
      copy.set(key.digest, key);
    }
    return copy;
  }

  #getShard(id: model.KeyDigest): KeyShard {
    return kernel.getDefined(this.#shards[shardedMap.getShardIndex(id)], "The index is masked.");
  }
}

/** One part: digests side by side in one buffer, and the workspace of each place. */
class KeyShard {
  #digests = Buffer.alloc(INITIAL_CAPACITY * DIGEST_BYTES);
  #workspaces = createPlaces(INITIAL_CAPACITY);
  #size = 0;

  get size(): number {
    return this.#size;
  }

  get(digest: Buffer): model.WorkspaceId | undefined {
    return this.#workspaces[this.#findPlace(digest)];
  }

  set(digest: Buffer, workspace: model.WorkspaceId): void {
    if (this.#size + 1 > this.#workspaces.length * HIGHEST_LOAD) {
      this.#grow();
    }
    const place = this.#findPlace(digest);
    if (this.#workspaces[place] === undefined) {
      digest.copy(this.#digests, place * DIGEST_BYTES);
      this.#size++;
    }
    this.#workspaces[place] = workspace;
  }

  delete(digest: Buffer): void {
    let hole = this.#findPlace(digest);
    if (this.#workspaces[hole] === undefined) {
      return;
    }
    this.#size--;
    this.#workspaces[hole] = undefined;
    // Entries behind the hole that were displaced past it move back, so that probing finds them.
    let place = this.#getNext(hole);
    while (this.#workspaces[place] !== undefined) {
      if (this.#getDistance(this.#getHome(place), place) >= this.#getDistance(hole, place)) {
        this.#move(place, hole);
        hole = place;
      }
      place = this.#getNext(place);
    }
  }

  *listKeys(): Generator<model.Key> {
    for (const [place, workspace] of this.#workspaces.entries()) {
      if (workspace !== undefined) {
        const digest = this.#getDigest(place).toString("hex") as model.KeyDigest;
        yield { digest, workspace };
      }
    }
  }

  /** The place that holds the digest, or the free one where it belongs. */
  #findPlace(digest: Buffer): number {
    let place = digest.readUInt32LE(0) & (this.#workspaces.length - 1);
    while (this.#workspaces[place] !== undefined && !this.#holds(place, digest)) {
      place = this.#getNext(place);
    }
    return place;
  }

  #holds(place: number, digest: Buffer): boolean {
    const start = place * DIGEST_BYTES;
    return this.#digests.compare(digest, 0, DIGEST_BYTES, start, start + DIGEST_BYTES) === 0;
  }

  #getDigest(place: number): Buffer {
    return this.#digests.subarray(place * DIGEST_BYTES, (place + 1) * DIGEST_BYTES);
  }

  #getHome(place: number): number {
    return this.#digests.readUInt32LE(place * DIGEST_BYTES) & (this.#workspaces.length - 1);
  }

  #getNext(place: number): number {
    return (place + 1) & (this.#workspaces.length - 1);
  }

  /** Steps forward from one place to another. */
  #getDistance(from: number, to: number): number {
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
    this.#workspaces = createPlaces(capacity);
    this.#size = 0;
    for (const key of keys) {
      this.set(Buffer.from(key.digest, "hex"), key.workspace);
    }
  }
}

function createPlaces(capacity: number): (model.WorkspaceId | undefined)[] {
  return new Array<model.WorkspaceId | undefined>(capacity).fill(undefined);
}
