/**
 * The keys in use at the slots that a VM holds.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as messages from "./claim_messages.ts";
import * as timings from "./claim_timing.ts";

/** Maximum number of keys that a VM stores, at about 800 bytes each. */
export const MAX_ENTRIES = 40_000;

interface Entry {
  readonly owner: messages.ClaimOwner;
  readonly usedAt: number;
}

/** Owners of keys, by slot and key. */
export class SlotTable {
  readonly #timing: timings.ClaimTiming;
  readonly #maxEntries: number;
  /** In the order of last use, oldest first. */
  readonly #entries = new Map<string, Entry>();

  constructor(timing: timings.ClaimTiming, maxEntries = MAX_ENTRIES) {
    this.#timing = timing;
    this.#maxEntries = maxEntries;
  }

  /** Number of stored keys. */
  get size(): number {
    return this.#entries.size;
  }

  /** Owner of a key at a slot; undefined if the key is free. */
  find(slot: number, key: string): messages.ClaimOwner | undefined {
    const entry = this.#entries.get(getEntryKey(slot, key));
    const isExpired = entry !== undefined &&
      kernel.getMonotonicMilliseconds() - entry.usedAt > this.#timing.maxEntryAge;
    return isExpired ? undefined : entry?.owner;
  }

  /**
   * Stores the owner of a key.
   *
   * @returns Whether it was stored; false if the table is full.
   */
  put(slot: number, key: string, owner: messages.ClaimOwner): boolean {
    const name = getEntryKey(slot, key);
    const usedAt = kernel.getMonotonicMilliseconds();
    if (!this.#entries.has(name) && !this.#evict(usedAt)) {
      return false;
    }
    // Deleted first, so that the entries stay in the order of last use.
    this.#entries.delete(name);
    this.#entries.set(name, { owner, usedAt });
    return true;
  }

  /** Removes a key whose claim was not used. */
  release(slot: number, key: string, claim: string): void {
    const name = getEntryKey(slot, key);
    if (this.#entries.get(name)?.owner.claim === claim) {
      this.#entries.delete(name);
    }
  }

  /**
   * Removes expired entries, and older entries if the table is full. An entry within the protected
   * period is never removed.
   *
   * @returns Whether there is room for another entry.
   */
  #evict(now: number): boolean {
    const protectedPeriod = timings.getProtectedPeriod(this.#timing);
    for (const [name, entry] of this.#entries) {
      const age = now - entry.usedAt;
      const isFull = this.#entries.size >= this.#maxEntries;
      if (age <= protectedPeriod || (age <= this.#timing.maxEntryAge && !isFull)) {
        return !isFull;
      }
      this.#entries.delete(name);
    }
    return true;
  }
}

function getEntryKey(slot: number, key: string): string {
  return `${slot} ${key}`;
}
