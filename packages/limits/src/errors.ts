/**
 * Errors of the limits layer. The request did not run in any of these cases.
 */

/** The workspace has no token for the request. */
export interface RateRefusal {
  readonly kind: "over_rate" | "no_share";
  readonly retryAfterMilliseconds: number;
}

/**
 * The request got no slot: its queue was full, its deadline came first, or its caller cancelled it.
 */
export interface QueueRefusal {
  readonly kind: "queue_full" | "queue_timeout" | "cancelled";
  readonly retryAfterMilliseconds: number;
}
