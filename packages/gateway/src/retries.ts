/**
 * Decides whether a failed attempt is retried, and whether another one may run beside a silent one.
 *
 * A request is retried only if it is idempotent or provably did not run, if no part of a response
 * has reached the caller, and if the deadline and a retry budget allow it. The budget keeps the
 * retries of all VMs together a small share of the requests, however many targets fail.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";

/** Attempts for one request, including the first. */
const MAXIMUM_ATTEMPTS = 3;

/** Retries that each request adds to the budget of its service. */
const BUDGET_PER_REQUEST = 0.1;

/** Most retries that a budget can accumulate. */
const BUDGET_CAPACITY = 10;

/** Initial budget; low, so that VMs started during an outage do not add load. */
const INITIAL_BUDGET = 2;

/** No retry starts with less time left than this. */
const SHORTEST_ATTEMPT_MILLISECONDS = 5;

/** Statuses that report a transient error. */
const RETRIED_STATUSES: ReadonlySet<number> = new Set([502, 503, 504]);

/** Why a request is retried. For `attempt_timeout`, the silent attempt goes on beside the retry. */
export const RETRY_REASONS = [
  "connect_failed",
  "not_run_signal",
  "reset",
  "attempt_timeout",
  "server_error",
] as const;

/** A reason why a request is retried. */
export type RetryReason = typeof RETRY_REASONS[number];

/** Why a failed request is not retried. */
export const NO_RETRY_REASONS = [
  "may_have_run",
  "body_not_replayable",
  "attempts_spent",
  "no_other_target",
  "deadline_near",
  "budget_spent",
] as const;

/** A reason why a failed request is not retried. */
export type NoRetryReason = typeof NO_RETRY_REASONS[number];

/** The input of the retry decision. */
export interface RetryConditions {
  readonly idempotent: boolean;
  /** Whether the target provably did not run the request. */
  readonly provablyNotRun: boolean;
  readonly bodyReplayable: boolean;
  /** Attempts so far. */
  readonly attempts: number;
  readonly deadlineMilliseconds: number;
  readonly hasOtherTarget: boolean;
}

/** Whether a response with this status may be discarded to retry an idempotent request. */
export function isRetriedStatus(status: number): boolean {
  return RETRIED_STATUSES.has(status);
}

/** The retries that this VM may still make for one service. */
export class RetryBudget {
  #level = INITIAL_BUDGET;

  /** Adds a request's share of a retry to the budget. */
  addRequest(): void {
    this.#level = Math.min(BUDGET_CAPACITY, this.#level + BUDGET_PER_REQUEST);
  }

  /** Whether a retry can be taken. */
  get hasRetry(): boolean {
    return this.#level >= 1;
  }

  tryTakeRetry(): boolean {
    if (!this.hasRetry) {
      return false;
    }
    this.#level--;
    return true;
  }
}

/** The retry budgets of all services. */
export class RetryBudgets {
  readonly #budgets = new Map<model.ServiceId, RetryBudget>();

  get(service: model.ServiceId): RetryBudget {
    let budget = this.#budgets.get(service);
    if (budget === undefined) {
      budget = new RetryBudget();
      this.#budgets.set(service, budget);
    }
    return budget;
  }
}

/** Why the request can't be retried, apart from the budget; undefined if it can. */
export function findNoRetryReason(conditions: RetryConditions): NoRetryReason | undefined {
  if (!conditions.idempotent && !conditions.provablyNotRun) {
    return "may_have_run";
  }
  if (!conditions.bodyReplayable) {
    return "body_not_replayable";
  }
  if (conditions.attempts >= MAXIMUM_ATTEMPTS) {
    return "attempts_spent";
  }
  if (!conditions.hasOtherTarget) {
    return "no_other_target";
  }
  const leftMilliseconds = conditions.deadlineMilliseconds - kernel.getMonotonicMilliseconds();
  return leftMilliseconds < SHORTEST_ATTEMPT_MILLISECONDS ? "deadline_near" : undefined;
}

/** Why the request can't be retried; undefined if it can. Takes nothing from the budget. */
export function findNoRetryReasonWithBudget(
  conditions: RetryConditions,
  budget: RetryBudget,
): NoRetryReason | undefined {
  return findNoRetryReason(conditions) ?? (budget.hasRetry ? undefined : "budget_spent");
}

/** Takes a retry from the budget if one is allowed; otherwise returns the reason against it. */
export function takeRetry(
  conditions: RetryConditions,
  budget: RetryBudget,
): NoRetryReason | undefined {
  return findNoRetryReason(conditions) ?? (budget.tryTakeRetry() ? undefined : "budget_spent");
}
