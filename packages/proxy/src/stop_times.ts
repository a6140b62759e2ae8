/**
 * The times of a stop.
 *
 * All count from the moment at which the stop was requested, as the grace period does, after which
 * the process is killed. A grace period may be so short that the load balancer still sends requests
 * when it ends. What is running then gets its response nevertheless, so that the times shrink with
 * the period.
 */

/**
 * Time until the load balancer has stopped sending requests: it removes a VM after two failed
 * readiness checks, a second apart.
 */
const BALANCER_LAG_MILLISECONDS = 2_800;

/**
 * Largest part of the time until the cut-off in which connections are accepted. The rest is left to
 * requests that have been accepted.
 */
const MAX_ACCEPTING_SHARE = 2 / 3;

/**
 * Time after the close from which a request may have been sent so late that its caller does not
 * expect it to be cut off; at most half of the part below.
 */
const LATE_AFTER_CLOSE_MILLISECONDS = 200;

/**
 * Part of the grace period that remains when the last requests are cut off, but at most the share
 * below. Their callers get what is left to send on their connections until the process begins to
 * end, which is in the middle of that part.
 */
const CUT_OFF_MARGIN_MILLISECONDS = 400;
const MAX_MARGIN_SHARE = 1 / 5;

/** Monotonic times of a stop, in milliseconds. */
export interface StopTimes {
  /** When no further connections are accepted. */
  readonly closesAt: number;
  /** From when requests that are read are late, even if the VM has not closed as it should have. */
  readonly lateAt: number;
  /** When running requests are cut off. */
  readonly cutOffAt: number;
  /** When the process begins to end, whatever is open. */
  readonly endsAt: number;
}

/** @param requestedAt Monotonic time at which the stop was requested, in milliseconds. */
export function getStopTimes(requestedAt: number, graceMilliseconds: number): StopTimes {
  const margin = Math.min(CUT_OFF_MARGIN_MILLISECONDS, graceMilliseconds * MAX_MARGIN_SHARE);
  const cutOffAfter = graceMilliseconds - margin;
  const closesAt = requestedAt +
    Math.min(BALANCER_LAG_MILLISECONDS, cutOffAfter * MAX_ACCEPTING_SHARE);
  return {
    closesAt,
    lateAt: closesAt + Math.min(LATE_AFTER_CLOSE_MILLISECONDS, margin / 2),
    cutOffAt: requestedAt + cutOffAfter,
    endsAt: requestedAt + graceMilliseconds - margin / 2,
  };
}
