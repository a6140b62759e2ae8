/**
 * Final responses that the proxy creates itself.
 */

import * as types from "./types.ts";

/** Values of the Retry-After header, in seconds. */
export const RETRY_AFTER_SECONDS = {
  noDeclarations: 0.5,
  noRoom: 0.3,
  // Targets shed the request with slots free, or could not be reached: another target may well
  // accept it.
  notReached: 0.05,
  // The load balancer has removed this VM.
  stopping: 0.05,
};

const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** A final response of the proxy. Statuses 429 and 503 mean that the request has not run. */
export interface Refusal {
  readonly status: number;
  readonly reason: types.RefusalReason;
  readonly retryAfterSeconds?: number;
}

/** Reads a refusal of another VM; an unknown reason counts as a failure of the target. */
export function readRefusal(
  status: number,
  reason: string,
  retryAfter: string | undefined,
): Refusal {
  const seconds = Number(retryAfter ?? Number.NaN);
  return {
    status,
    reason: types.REFUSAL_REASONS.find((known) => known === reason) ?? "target_failed",
    ...(seconds >= 0 ? { retryAfterSeconds: seconds } : {}),
  };
}

/** Whether a refusal states that the request has not run and never will. */
export function isNotRun(refusal: Refusal): boolean {
  return NOT_RUN_STATUSES.has(refusal.status);
}
