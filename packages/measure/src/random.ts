/**
 * Seeded random numbers for open-loop load and emulated targets.
 */

import * as generators from "pure-rand/generator/xoroshiro128plus";
import type * as generatorTypes from "pure-rand/types/RandomGenerator";

const MAXIMUM_UINT32 = 0xffff_ffff;

/** A stream of random numbers that depends on its seed only. */
export class RandomStream {
  readonly #generator: generatorTypes.RandomGenerator;

  constructor(seed: number) {
    this.#generator = generators.xoroshiro128plus(seed);
  }

  /** Uniform in (0, 1). */
  nextUniform(): number {
    return ((this.#generator.next() >>> 0) + 0.5) / (MAXIMUM_UINT32 + 1);
  }

  /** Uniform integer from 0 to `count - 1`. */
  nextIndex(count: number): number {
    return Math.floor(this.nextUniform() * count);
  }

  /** Exponential with the given mean. */
  nextExponential(mean: number): number {
    return -Math.log(this.nextUniform()) * mean;
  }

  /** Log-normal with the given median; `sigma` is the deviation of the logarithm. */
  nextLogNormal(median: number, sigma: number): number {
    const radius = Math.sqrt(-2 * Math.log(this.nextUniform()));
    const normal = radius * Math.cos(2 * Math.PI * this.nextUniform());
    return median * Math.exp(sigma * normal);
  }
}
