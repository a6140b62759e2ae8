/**
 * Decides when a call that still runs is evidence against its target.
 *
 * Designed for 640 requests per second over 136 targets with a time limit of 1.5 s, 7% of which hang
 * on two thirds of their requests: each of 115 VMs has at most one call at such a target, so they
 * detect it together, from the calls that are overdue on any of them. The VMs are to stop sending to
 * it well before the time limit of its first call.
 */

/**
 * 3 in 100 calls of a healthy target take 7 times as long as the others and are overdue as well. A
 * threshold that excludes them would come after the time limit; their share is in the likelihoods of
 * the outcome instead.
 */
const OVERDUE_AFTER_MEAN_TIMES = 3;

/**
 * Least threshold in mean times. On a route whose usual requests take longer than its objective, the
 * objective alone would make every call overdue.
 */
const MIN_OVERDUE_MEAN_TIMES = 1.5;

/** Least threshold: a new connection to another data centre and a busy VM take this long. */
const MIN_OVERDUE_MILLISECONDS = 100;

/**
 * Time after which a call that still runs is overdue, in milliseconds.
 *
 * @param meanMilliseconds Mean processing time of the route's requests at the target.
 * @param objectiveMilliseconds Objective of the route.
 */
export function getOverdueMilliseconds(
  meanMilliseconds: number,
  objectiveMilliseconds: number,
): number {
  return Math.max(
    MIN_OVERDUE_MILLISECONDS,
    meanMilliseconds * MIN_OVERDUE_MEAN_TIMES,
    Math.min(meanMilliseconds * OVERDUE_AFTER_MEAN_TIMES, objectiveMilliseconds),
  );
}
