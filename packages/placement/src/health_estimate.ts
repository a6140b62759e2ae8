/**
 * Estimates the probability that a target is failing.
 *
 * Designed for targets whose failure periods are short compared with the time between two calls of
 * one VM, so that nearly every failure period has to be detected from one or two failures seen by
 * the whole fleet, and its end from one success. A filter with two states, healthy and failing,
 * does that: failure periods begin and end at given rates, and each outcome changes the odds by how
 * much more often it occurs in one state than in the other. Between outcomes the probability drifts
 * back to the share of time that targets spend in failure periods.
 *
 * Errors arrive soon after the start of a call, successes only after the whole processing time. An
 * outcome is therefore evidence for the time at which its call began: a success of a call that
 * began before a failure does not outweigh that failure.
 */

import * as kernel from "@hemlockwalk/kernel";

/** How one call to a target ended, as far as that is evidence of the target's health. */
export type Outcome =
  | "success"
  | "error"
  | "broken"
  | "silent"
  | "shed"
  /** The call still runs after the time within which errors arrive. */
  | "survived";

/** Mean durations of the two states of a target. */
export interface HealthRates {
  /** Mean time between two failure periods, in milliseconds. */
  readonly healthyMilliseconds: number;
  /** Mean duration of a failure period, in milliseconds. */
  readonly failingMilliseconds: number;
}

/**
 * Failure periods of a few seconds, with about three times as long between them. Used for all
 * services; the durations are not adapted to a service's own calls.
 */
export const DEFAULT_HEALTH_RATES: HealthRates = {
  healthyMilliseconds: 7_000,
  failingMilliseconds: 2_700,
};

/** Probability of each outcome in the two states; only their ratio matters. */
const LIKELIHOODS: Readonly<
  Record<Outcome, { readonly healthy: number; readonly failing: number }>
> = {
  // A failing target still serves about one call in eight.
  success: { healthy: 0.97, failing: 0.12 },
  error: { healthy: 0.015, failing: 0.85 },
  // Lost and corrupt responses also come from healthy targets.
  broken: { healthy: 0.02, failing: 0.5 },
  silent: { healthy: 0.01, failing: 0.4 },
  // A healthy target also sheds requests when all its slots are in use.
  shed: { healthy: 0.1, failing: 0.4 },
  // Some failures show only at the end of the processing time, or never.
  survived: { healthy: 0.98, failing: 0.25 },
};

/** Outcomes that are evidence of a healthy target. */
const HEALTHY_OUTCOMES: ReadonlySet<Outcome> = new Set(["success", "survived"]);

/**
 * No outcome is conclusive: the probability stays within these bounds, so that contrary outcomes
 * change the estimate quickly.
 */
const MIN_PROBABILITY = 0.002;
const MAX_PROBABILITY = 0.98;

/** Estimates the health of one target. */
export class HealthEstimate {
  readonly #rates: HealthRates;
  #probability: number;
  #updatedAt: number;
  /** Monotonic time at which the latest outcome was recorded, in milliseconds. */
  lastOutcomeAt = Number.NEGATIVE_INFINITY;
  /**
   * Monotonic time to which the latest outcome applies, in milliseconds. The end of a long call is
   * no evidence of the target's present state.
   */
  evidenceAt = Number.NEGATIVE_INFINITY;

  constructor(rates: HealthRates = DEFAULT_HEALTH_RATES) {
    this.#rates = rates;
    this.#probability = this.#getStationaryProbability();
    // There is no earlier evidence, so outcomes of any age count.
    this.#updatedAt = Number.NEGATIVE_INFINITY;
  }

  /** Probability, from 0 to 1, that the target is failing now. */
  get failureProbability(): number {
    return this.#getFailureProbabilityAt(kernel.getMonotonicMilliseconds());
  }

  /**
   * Records one or more calls with the same outcome.
   *
   * @param startedAt Monotonic time at which the latest of the calls began, in milliseconds.
   */
  recordOutcome(outcome: Outcome, startedAt: number, count = 1): void {
    const isOutOfOrder = startedAt < this.#updatedAt;
    if (HEALTHY_OUTCOMES.has(outcome) && isOutOfOrder) {
      return;
    }
    const at = Math.max(startedAt, this.#updatedAt);
    const prior = this.#getFailureProbabilityAt(at);
    const likelihood = LIKELIHOODS[outcome];
    const odds = prior / (1 - prior) * Math.pow(likelihood.failing / likelihood.healthy, count);
    const posterior = odds / (1 + odds);
    this.#probability = Math.min(Math.max(posterior, MIN_PROBABILITY), MAX_PROBABILITY);
    this.#updatedAt = at;
    this.lastOutcomeAt = kernel.getMonotonicMilliseconds();
    this.evidenceAt = at;
  }

  #getFailureProbabilityAt(time: number): number {
    const elapsed = Math.max(0, time - this.#updatedAt);
    const drift = Math.exp(
      -elapsed * (1 / this.#rates.healthyMilliseconds + 1 / this.#rates.failingMilliseconds),
    );
    const stationary = this.#getStationaryProbability();
    return stationary + (this.#probability - stationary) * drift;
  }

  #getStationaryProbability(): number {
    const { healthyMilliseconds, failingMilliseconds } = this.#rates;
    return failingMilliseconds / (healthyMilliseconds + failingMilliseconds);
  }
}
