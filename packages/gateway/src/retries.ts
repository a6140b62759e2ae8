/**
 * Whether a failed attempt is followed by another one.
 *
 * A request is sent again only if it is idempotent or provably did not run, while nothing of an
 * answer has reached the caller, within the request's deadline and a budget, so that the retries of
 * all VMs together stay a small share of the requests however many targets fail.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";

/** Attempts of one request, the first one included. */
const MAXIMUM_ATTEMPTS = 3;

/** Retries that each request adds to its service's budget. */
const BUDGET_PER_REQUEST = 0.1;

/** Most retries that a budget holds. */
const BUDGET_CAPACITY = 10;

/** What a budget starts with: VMs that start during an outage must not add to it. */
const BUDGET_START = 2;

/** With less time than this another attempt is not begun. */
const SHORTEST_ATTEMPT_MILLISECONDS = 5;

/** Statuses by which a target tells of a passing trouble. */
const RETRIED_STATUSES: ReadonlySet<number> = new Set([502, 503, 504]);

/** Why a request is sent again. */
export const RETRY_REASONS = [
  "connect_failed",
  "not_run_signal",
  "reset",
  "attempt_timeout",
  "server_error",
] as const;

/** One of the reasons why a request is sent again. */
export type RetryReason = typeof RETRY_REASONS[number];

/** Why a failed request is not sent again. */
export const NO_RETRY_REASONS = [
  "may_have_run",
  "body_not_replayable",
  "attempts_spent",
  "no_other_target",
  "deadline_near",
  "budget_spent",
] as const;

/** One of the reasons why a failed request is not sent again. */
export type NoRetryReason = typeof NO_RETRY_REASONS[number];

/** What the decision depends on. */
export interface RetrySituation {
  readonly idempotent: boolean;
  /** Whether the target provably did not run the request. */
  readonly provablyNotRun: boolean;
  readonly bodyReplayable: boolean;
  /** Attempts so far. */
  readonly attempts: number;
  readonly deadlineMilliseconds: number;
  readonly hasOtherTarget: boolean;
}

/** Whether the status of an idempotent request's answer is worth another attempt. */
export function isRetriedStatus(status: number): boolean {
  return RETRIED_STATUSES.has(status);
}

/** Retries that a VM may still make for one service. */
export class RetryBudget {
  #level = BUDGET_START;

  /** Notes a request, which earns a part of a retry. */
  addRequest(): void {
    this.#level = Math.min(BUDGET_CAPACITY, this.#level + BUDGET_PER_REQUEST);
  }

  tryTake(): boolean {
    if (this.#level < 1) {
      return false;
    }
    this.#level--;
    return true;
  }
}

/** The budgets of all services. */
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

/** Why there is no other attempt; undefined when one may follow, budget aside. */
export function findObstacle(situation: RetrySituation): NoRetryReason | undefined {
  if (!situation.idempotent && !situation.provablyNotRun) {
    return "may_have_run";
  }
  if (!situation.bodyReplayable) {
    return "body_not_replayable";
  }
  if (situation.attempts >= MAXIMUM_ATTEMPTS) {
    return "attempts_spent";
  }
  if (!situation.hasOtherTarget) {
    return "no_other_target";
  }
  const left = situation.deadlineMilliseconds - kernel.getMonotonicMilliseconds();
  return left < SHORTEST_ATTEMPT_MILLISECONDS ? "deadline_near" : undefined;
}

/** Takes a retry from the budget unless something stands against it. */
export function takeRetry(
  situation: RetrySituation,
  budget: RetryBudget,
): NoRetryReason | undefined {
  return findObstacle(situation) ?? (budget.tryTake() ? undefined : "budget_spent");
}
