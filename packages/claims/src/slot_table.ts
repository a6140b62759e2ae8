/**
 * What a VM remembers about keys on behalf of the slots that it holds.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as messages from "./claim_messages.ts";
import * as timings from "./claim_timing.ts";

/** Keys that a VM remembers, at about 800 bytes each. */
export const MAX_ENTRIES = 40_000;

interface Entry {
  readonly owner: messages.ClaimOwner;
  readonly usedAt: number;
}

/** Keys in use, by slot. */
export class SlotTable {
  readonly #timing: timings.ClaimTiming;
  readonly #maxEntries: number;
  /** In the order of last use, oldest first. */
  readonly #entries = new Map<string, Entry>();

  constructor(timing: timings.ClaimTiming, maxEntries = MAX_ENTRIES) {
    this.#timing = timing;
    this.#maxEntries = maxEntries;
  }

  /** Keys that are remembered. */
  get size(): number {
    return this.#entries.size;
  }

  /** The user of a key at a slot; undefined when it is free. */
  find(slot: number, key: string): messages.ClaimOwner | undefined {
    const entry = this.#entries.get(getName(slot, key));
    const isOld = entry !== undefined &&
      kernel.getMonotonicMilliseconds() - entry.usedAt > this.#timing.memory;
    return isOld ? undefined : entry?.owner;
  }

  /**
   * Remembers the user of a key.
   *
   * @returns Whether there was room.
   */
  put(slot: number, key: string, owner: messages.ClaimOwner): boolean {
    const name = getName(slot, key);
    const usedAt = kernel.getMonotonicMilliseconds();
    if (!this.#entries.has(name) && !this.#makeRoom(usedAt)) {
      return false;
    }
    // Taken out first, so that the order stays that of last use.
    this.#entries.delete(name);
    this.#entries.set(name, { owner, usedAt });
    return true;
  }

  /** Forgets a key that its user did not use. */
  release(slot: number, key: string, claim: string): void {
    const name = getName(slot, key);
    if (this.#entries.get(name)?.owner.claim === claim) {
      this.#entries.delete(name);
    }
  }

  /** Forgets what is old; within the retention nothing is forgotten, however full the table is. */
  #makeRoom(now: number): boolean {
    const guarded = timings.getGuardedPeriod(this.#timing);
    for (const [name, entry] of this.#entries) {
      const age = now - entry.usedAt;
      const isFull = this.#entries.size >= this.#maxEntries;
      if (age <= guarded || (age <= this.#timing.memory && !isFull)) {
        return !isFull;
      }
      this.#entries.delete(name);
    }
    return true;
  }
}

function getName(slot: number, key: string): string {
  return `${slot} ${key}`;
}
