/**
 * Division of a refill among priorities.
 *
 * Designed for a workspace at up to five times its rate. The most urgent requests are served first,
 * and every priority keeps a least share, so that none is starved.
 */

/** Priorities told apart: 0 is the most urgent, and the last one stands for all beyond it. */
export const PRIORITY_CLASSES = 4;

/**
 * Least share of a priority's requests that are served, as a part of the share of all requests. A
 * quarter is required; the rest covers the noise of counting.
 */
const LEAST_RELATIVE_SHARE = 0.4;

/** Class of a priority, from 0 to `PRIORITY_CLASSES` - 1. */
export function getPriorityClass(priority: number): number {
  return Math.min(PRIORITY_CLASSES - 1, Math.max(0, Math.floor(priority)));
}

/**
 * Divides a refill by demand, most urgent first.
 *
 * @param refill What can be served, in the unit of the demands.
 * @param demands Demand of each class, most urgent first.
 * @returns What each class gets: at most its demand, in sum at most the refill.
 */
export function divideByUrgency(refill: number, demands: readonly number[]): number[] {
  const total = demands.reduce((sum, demand) => sum + demand, 0);
  if (total <= refill) {
    return [...demands];
  }
  const leastShare = LEAST_RELATIVE_SHARE * Math.max(refill, 0) / total;
  let left = Math.max(refill, 0) - total * leastShare;
  return demands.map((demand) => {
    const extra = Math.min(demand * (1 - leastShare), left);
    left -= extra;
    return demand * leastShare + extra;
  });
}
