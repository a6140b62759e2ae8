/**
 * Final answers that the proxy makes itself.
 */

import type * as types from "./types.ts";

/** Times to come back that refusals name, in seconds. */
export const RETRY_AFTER_SECONDS = {
  noDeclarations: 0.5,
  overRate: 1,
  noRoom: 0.3,
  // Targets that shed with slots free or were not reached: another one may well take the request.
  notReached: 0.05,
};

/** A final answer of the proxy. Statuses 429 and 503 say that the request has not run. */
export interface Refusal {
  readonly status: number;
  readonly reason: types.RefusalReason;
  readonly retryAfterSeconds?: number;
}
