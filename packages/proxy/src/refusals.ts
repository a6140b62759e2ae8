/**
 * Final responses that the proxy creates itself.
 */

import type * as types from "./types.ts";

/** Values of the Retry-After header, in seconds. */
export const RETRY_AFTER_SECONDS = {
  noDeclarations: 0.5,
  overRate: 1,
  noRoom: 0.3,
  // Targets shed the request with slots free, or could not be reached: another target may well
  // accept it.
  notReached: 0.05,
};

/** A final response of the proxy. Statuses 429 and 503 mean that the request has not run. */
export interface Refusal {
  readonly status: number;
  readonly reason: types.RefusalReason;
  readonly retryAfterSeconds?: number;
}
