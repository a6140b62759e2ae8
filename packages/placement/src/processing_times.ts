/**
 * Processing times of requests: the mean of each route, and each target's ratio to that mean.
 */

/** Weight of a new processing time in a route's mean. */
const ROUTE_WEIGHT = 0.05;

/** Weight of a new processing time in a target's ratio. One VM sends few calls to each target. */
const TARGET_WEIGHT = 0.2;

/** Upper bound of a single ratio; larger ones carry no more information. */
const MAX_RELATIVE_TIME = 8;

/** Mean assumed before the first response, as a share of the route's objective. */
const INITIAL_SHARE_OF_OBJECTIVE = 0.3;

/** Processing times measured by one VM. */
export class ProcessingTimes {
  readonly #routes = new Map<string, number>();
  readonly #targets = new Map<string, number>();

  /** Mean processing time of a route's requests, in milliseconds. */
  getRouteMean(route: string, objectiveMilliseconds: number): number {
    return this.#routes.get(route) ?? objectiveMilliseconds * INITIAL_SHARE_OF_OBJECTIVE;
  }

  /** Ratio of a target's processing times to the means of the routes; 1 when unknown. */
  getRelativeTime(target: string): number {
    return this.#targets.get(target) ?? 1;
  }

  record(
    route: string,
    target: string,
    milliseconds: number,
    objectiveMilliseconds: number,
  ): void {
    const mean = this.getRouteMean(route, objectiveMilliseconds);
    this.#routes.set(route, mean + ROUTE_WEIGHT * (milliseconds - mean));
    const ratio = Math.min(milliseconds / Math.max(mean, 1), MAX_RELATIVE_TIME);
    const relativeTime = this.getRelativeTime(target);
    this.#targets.set(target, relativeTime + TARGET_WEIGHT * (ratio - relativeTime));
  }

  removeTarget(target: string): void {
    this.#targets.delete(target);
  }
}
