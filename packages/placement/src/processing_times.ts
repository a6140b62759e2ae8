/**
 * How long requests take: the mean of each route, and how much slower a target is than others.
 */

/** Weight of a new work time in a route's mean. */
const ROUTE_WEIGHT = 0.05;

/** Weight of a new work time in a target's slowness. Few calls of one VM reach one target. */
const TARGET_WEIGHT = 0.2;

/** Slowness beyond this tells nothing more. */
const MAX_SLOWNESS = 8;

/** Assumed before the first answer, as a share of the route's objective. */
const INITIAL_SHARE_OF_OBJECTIVE = 0.3;

/** Work times as one VM has seen them. */
export class WorkTimes {
  readonly #routes = new Map<string, number>();
  readonly #targets = new Map<string, number>();

  /** Mean work time of a route's requests, in milliseconds. */
  getTypical(route: string, objectiveMilliseconds: number): number {
    return this.#routes.get(route) ?? objectiveMilliseconds * INITIAL_SHARE_OF_OBJECTIVE;
  }

  /** Work time at a target against the mean of its requests' routes; 1 when unknown. */
  getSlowness(target: string): number {
    return this.#targets.get(target) ?? 1;
  }

  record(
    route: string,
    target: string,
    milliseconds: number,
    objectiveMilliseconds: number,
  ): void {
    const typical = this.getTypical(route, objectiveMilliseconds);
    this.#routes.set(route, typical + ROUTE_WEIGHT * (milliseconds - typical));
    const ratio = Math.min(milliseconds / Math.max(typical, 1), MAX_SLOWNESS);
    const slowness = this.getSlowness(target);
    this.#targets.set(target, slowness + TARGET_WEIGHT * (ratio - slowness));
  }

  forgetTarget(target: string): void {
    this.#targets.delete(target);
  }
}
