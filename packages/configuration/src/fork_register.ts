/**
 * Records forks: different notes with the same number.
 */

import type * as types from "./types.ts";

const MAXIMUM_FORKS = 32;

/** The most recently detected forks on one VM. */
export class ForkRegister {
  readonly #forks = new Map<string, types.Fork>();

  /** @returns Whether the fork is new. */
  add(fork: types.Fork): boolean {
    const key = `${fork.number} ${fork.inForce} ${fork.refused} ${fork.seenAt}`;
    if (this.#forks.has(key)) {
      return false;
    }
    this.#forks.set(key, fork);
    const oldest = this.#forks.keys().next();
    if (this.#forks.size > MAXIMUM_FORKS && oldest.done !== true) {
      this.#forks.delete(oldest.value);
    }
    return true;
  }

  list(): types.Fork[] {
    return [...this.#forks.values()];
  }
}
