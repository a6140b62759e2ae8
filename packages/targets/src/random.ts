/**
 * Seeded random numbers, so that a run can be reproduced.
 */

import * as prand from "pure-rand/generator/xoroshiro128plus";

/** Number of distinct values that the generator returns. */
const RANGE = 2 ** 32;

/** A source of random numbers. */
export class RandomSource {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = prand.xoroshiro128plus(seed);
  }

  /** A number of at least 0 and below 1. */
  next(): number {
    return (this.#generator.next() >>> 0) / RANGE;
  }

  /** One of the entries; undefined when there are none. */
  pick<Entry>(entries: readonly Entry[]): Entry | undefined {
    return entries[Math.floor(this.next() * entries.length)];
  }
}
