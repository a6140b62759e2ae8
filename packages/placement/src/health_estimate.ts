/**
 * What is believed of a target: the probability that it is in a bad spell.
 *
 * Load that this answers: targets whose spells are short against the time between two calls of one
 * VM, so that nearly every spell has to be recognised from one or two failures of the whole fleet,
 * and its end from one success. A filter with two states does that: spells begin and end at given
 * rates, and each outcome moves the probability by how much more often it occurs in one state than
 * in the other. Between outcomes the probability drifts back to the share of time spent in spells.
 *
 * Errors come at once and successes after the whole work, so an outcome speaks of the moment at which
 * its call began: a success of a call that began before a failure does not speak against it.
 */

import * as kernel from "@hemlockwalk/kernel";

/** How one call to a target ended, as far as it says something about the target. */
export type Outcome =
  | "success"
  | "error"
  | "broken"
  | "silent"
  | "shed"
  /** Still running after the time within which errors come. */
  | "survived";

/** Rates of the two states. */
export interface BeliefRates {
  /** Mean time between two spells, in milliseconds. */
  readonly wellMilliseconds: number;
  /** Mean length of a spell, in milliseconds. */
  readonly sickMilliseconds: number;
}

/** Until a service's own calls have shown more: a few seconds of trouble, thrice as many without. */
export const DEFAULT_RATES: BeliefRates = { wellMilliseconds: 7_000, sickMilliseconds: 2_700 };

/** Probability of an outcome in each state; only their ratio matters. */
const LIKELIHOODS: Readonly<Record<Outcome, { readonly well: number; readonly sick: number }>> = {
  // A target in a spell still serves about one call in eight.
  success: { well: 0.97, sick: 0.12 },
  error: { well: 0.015, sick: 0.85 },
  // Lost and spoilt answers also come from targets that are well.
  broken: { well: 0.02, sick: 0.5 },
  silent: { well: 0.01, sick: 0.4 },
  // A target may be full without any fault.
  shed: { well: 0.1, sick: 0.4 },
  // Some spells show only at the end of the work, or never.
  survived: { well: 0.98, sick: 0.25 },
};

/** Outcomes that speak for a target. */
const GOOD_OUTCOMES: ReadonlySet<Outcome> = new Set(["success", "survived"]);

/** No outcome is proof: the odds stay within these bounds, so that the opposite is soon believed. */
const MIN_PROBABILITY = 0.002;
const MAX_PROBABILITY = 0.98;

/** The belief about one target. */
export class TargetBelief {
  readonly #rates: BeliefRates;
  #probability: number;
  #updatedAt: number;
  /** Monotonic time at which the latest outcome was heard of, in milliseconds. */
  observedAt = Number.NEGATIVE_INFINITY;
  /**
   * Monotonic time of which the latest outcome speaks, in milliseconds: the end of a long call is no
   * news of the present.
   */
  speaksOf = Number.NEGATIVE_INFINITY;

  constructor(rates: BeliefRates = DEFAULT_RATES) {
    this.#rates = rates;
    this.#probability = this.#getStationary();
    // Nothing is known, so an outcome of any age is news.
    this.#updatedAt = Number.NEGATIVE_INFINITY;
  }

  /** Probability, from 0 to 1, that the target is in a spell now. */
  get sickness(): number {
    return this.#getSicknessAt(kernel.getMonotonicMilliseconds());
  }

  /**
   * Takes a number of equal outcomes.
   *
   * @param startedAt Monotonic time at which the latest of the calls began, in milliseconds.
   */
  observe(outcome: Outcome, startedAt: number, count = 1): void {
    const isOld = startedAt < this.#updatedAt;
    if (GOOD_OUTCOMES.has(outcome) && isOld) {
      return;
    }
    const at = Math.max(startedAt, this.#updatedAt);
    const prior = this.#getSicknessAt(at);
    const likelihood = LIKELIHOODS[outcome];
    const odds = prior / (1 - prior) * Math.pow(likelihood.sick / likelihood.well, count);
    const posterior = odds / (1 + odds);
    this.#probability = Math.min(Math.max(posterior, MIN_PROBABILITY), MAX_PROBABILITY);
    this.#updatedAt = at;
    this.observedAt = kernel.getMonotonicMilliseconds();
    this.speaksOf = at;
  }

  #getSicknessAt(time: number): number {
    const elapsed = Math.max(0, time - this.#updatedAt);
    const drift = Math.exp(
      -elapsed * (1 / this.#rates.wellMilliseconds + 1 / this.#rates.sickMilliseconds),
    );
    const stationary = this.#getStationary();
    return stationary + (this.#probability - stationary) * drift;
  }

  #getStationary(): number {
    const { wellMilliseconds, sickMilliseconds } = this.#rates;
    return sickMilliseconds / (wellMilliseconds + sickMilliseconds);
  }
}
