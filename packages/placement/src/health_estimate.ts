/**
 * Estimates the probability that a target is failing.
 *
 * Designed for targets whose failure periods are short compared with the time between two calls of
 * one VM, so that nearly every failure period has to be detected from one or two failures seen by
 * the whole fleet, and its end from one success. A filter with three states does that: healthy,
 * failing (nearly every call ends with an error at once) and hanging (most calls get no response).
 * Failure periods begin and end at given rates, and each outcome changes the odds of the states by
 * how often it occurs in each of them. Between outcomes the probabilities drift back to the shares
 * of time that targets spend in the states.
 *
 * Hanging is a state of its own because a hanging target passes the tests of a healthy one: its
 * calls outlast the time within which errors arrive, again and again.
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
  | "survived"
  /** The call still runs after the time of `getOverdueMilliseconds`. */
  | "overdue"
  /** A call that was overdue has succeeded, which withdraws that outcome: the target is slow. */
  | "late";

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

/**
 * Share of the failure periods in which a target hangs instead of returning errors: 7% of the
 * targets hang where 30% return errors.
 */
const HANGING_SHARE = 0.2;

/** A value for each state of a target. */
interface ByState {
  readonly healthy: number;
  readonly failing: number;
  readonly hanging: number;
}

/** Probability of each outcome in the three states; only their ratios matter. */
const LIKELIHOODS: Readonly<Record<Outcome, ByState>> = {
  // A failing target still serves about one call in eight, a hanging one a third.
  success: { healthy: 0.97, failing: 0.12, hanging: 0.33 },
  error: { healthy: 0.015, failing: 0.85, hanging: 0.015 },
  // Lost and corrupt responses also come from healthy targets.
  broken: { healthy: 0.02, failing: 0.5, hanging: 0.5 },
  silent: { healthy: 0.01, failing: 0.3, hanging: 0.67 },
  // A healthy target also sheds requests when all its slots are in use.
  shed: { healthy: 0.1, failing: 0.4, hanging: 0.4 },
  // Errors arrive at once, so survival says nothing about whether the call hangs.
  survived: { healthy: 0.98, failing: 0.2, hanging: 0.98 },
  // 3 in 100 calls of a healthy target take 7 times as long as the others and are overdue too, so
  // that one of them must not divert the load from a target with recent successes.
  overdue: { healthy: 0.035, failing: 0.05, hanging: 0.67 },
  // The inverse of `overdue`.
  late: { healthy: 0.67, failing: 0.47, hanging: 0.035 },
};

/** Whether this version of the program knows an outcome that another VM has reported. */
export function isOutcome(name: unknown): name is Outcome {
  return typeof name === "string" && Object.hasOwn(LIKELIHOODS, name);
}

/** Outcomes that are evidence of a healthy target. */
const HEALTHY_OUTCOMES: ReadonlySet<Outcome> = new Set(["success", "survived"]);

/**
 * No outcome is conclusive: the probability stays within these bounds, so that contrary outcomes
 * change the estimate quickly.
 */
const MIN_PROBABILITY = 0.002;
const MAX_PROBABILITY = 0.98;

/** Most calls that count at once; more change nothing and would underflow to 0. */
const MAX_COUNT = 20;

/** Estimates the health of one target. */
export class HealthEstimate {
  /** Share of the time that a target spends failing or hanging. */
  readonly #stationary: number;
  /** Rate at which an estimate loses its weight, per millisecond. */
  readonly #driftRate: number;
  #failing: number;
  #hanging: number;
  #updatedAt: number;
  /** Monotonic time at which the latest outcome was recorded, in milliseconds. */
  lastOutcomeAt = Number.NEGATIVE_INFINITY;
  /**
   * Monotonic time to which the latest outcome applies, in milliseconds. The end of a long call is
   * no evidence of the target's present state.
   */
  evidenceAt = Number.NEGATIVE_INFINITY;

  constructor(rates: HealthRates = DEFAULT_HEALTH_RATES) {
    const { healthyMilliseconds, failingMilliseconds } = rates;
    this.#stationary = failingMilliseconds / (healthyMilliseconds + failingMilliseconds);
    this.#driftRate = 1 / healthyMilliseconds + 1 / failingMilliseconds;
    this.#failing = this.#stationary * (1 - HANGING_SHARE);
    this.#hanging = this.#stationary * HANGING_SHARE;
    // There is no earlier evidence, so outcomes of any age count.
    this.#updatedAt = Number.NEGATIVE_INFINITY;
  }

  /** Probability, from 0 to 1, that the target is failing or hanging now. */
  get failureProbability(): number {
    return this.getFailureProbabilityAt(kernel.getMonotonicMilliseconds());
  }

  /** The same as of a monotonic time, in milliseconds. */
  getFailureProbabilityAt(time: number): number {
    const stationary = this.#stationary;
    return stationary + (this.#failing + this.#hanging - stationary) * this.#getDrift(time);
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
    const likelihood = LIKELIHOODS[outcome];
    const calls = Math.min(count, MAX_COUNT);
    const prior = this.#getStatesAt(at);
    const healthy = prior.healthy * Math.pow(likelihood.healthy, calls);
    const failing = prior.failing * Math.pow(likelihood.failing, calls);
    const hanging = prior.hanging * Math.pow(likelihood.hanging, calls);
    const unhealthy = failing + hanging;
    const posterior = unhealthy / (healthy + unhealthy);
    const scale = Math.min(Math.max(posterior, MIN_PROBABILITY), MAX_PROBABILITY) / unhealthy;
    this.#failing = failing * scale;
    this.#hanging = hanging * scale;
    this.#updatedAt = at;
    this.lastOutcomeAt = kernel.getMonotonicMilliseconds();
    this.evidenceAt = at;
  }

  #getStatesAt(time: number): ByState {
    const drift = this.#getDrift(time);
    const stationary = this.#stationary;
    const failing = drift * this.#failing + (1 - drift) * stationary * (1 - HANGING_SHARE);
    const hanging = drift * this.#hanging + (1 - drift) * stationary * HANGING_SHARE;
    return { healthy: 1 - failing - hanging, failing, hanging };
  }

  /** Share of the latest estimate that still counts at a time. */
  #getDrift(time: number): number {
    const elapsed = Math.max(0, time - this.#updatedAt);
    return Math.exp(-elapsed * this.#driftRate);
  }
}
