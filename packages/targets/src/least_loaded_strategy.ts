/**
 * Chooses the target on which this VM runs the fewest requests. A baseline for other strategies.
 */

import type * as model from "@hemlockwalk/model";
import type * as random from "./random.ts";
import type * as types from "./types.ts";

/** Chooses the target with the fewest requests of this VM, at random among equals. */
export class LeastLoadedStrategy implements types.ChoiceStrategy {
  readonly #random: random.RandomSource;

  constructor(source: random.RandomSource) {
    this.#random = source;
  }

  choose(
    _service: model.ServiceId,
    candidates: readonly types.Candidate[],
  ): types.Candidate | undefined {
    const least = Math.min(...candidates.map((candidate) => candidate.running));
    const equals = candidates.filter((candidate) => candidate.running === least);
    return this.#random.pick(equals);
  }
}
