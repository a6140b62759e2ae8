/**
 * Decides until when a request may begin in a VM that stops.
 *
 * Designed for VMs that are restarted one after another under full load: callers reach a stopping VM
 * for seconds, their requests wait there for slots, pauses, rates and their turn, and what still runs
 * at the end of the grace period is cut off. A request that is refused in time as not run is served
 * by another VM; one that begins too late loses its response, and may have run.
 *
 * Processing times vary far more than their mean tells, so a measured time alone is no limit:
 *
 * - A request whose time for the response is over before the cut-off may begin at any time, since it
 *   has a response by then.
 * - A request that is read when the VM accepts no connections any more does not begin otherwise.
 *   Its target may work for longer than any objective, and a caller that is refused at once has lost
 *   nothing.
 * - Otherwise its objective has to fit in before the cut-off, or more if its route has been slower.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as placement from "@hemlockwalk/placement";
import type * as types from "./types.ts";

/** Mean processing times that have to fit in before the cut-off, if they exceed the objective. */
const MIN_TIME_IN_MEAN_TIMES = 3;

/** What the limit depends on in a VM. */
export interface StopLimitContext {
  readonly stop: Pick<types.StopState, "cutOffAt">;
  readonly tracker: {
    readonly processingTimes: Pick<placement.ProcessingTimes, "getRouteMean">;
  };
}

/** What the limit depends on in a request. */
export type BeginningRequest = Pick<types.AcceptedRequest, "endsAt" | "isLate"> & {
  readonly route: Pick<types.AcceptedRoute, "id" | "objectiveMilliseconds">;
};

/**
 * Monotonic time until which a request may begin, in milliseconds; infinite if the VM does not stop
 * before the request's time is over.
 */
export function getLatestBegin(
  { stop, tracker }: StopLimitContext,
  { route, endsAt, isLate }: BeginningRequest,
): number {
  if (endsAt <= stop.cutOffAt) {
    return Number.POSITIVE_INFINITY;
  }
  if (isLate) {
    return Number.NEGATIVE_INFINITY;
  }
  const mean = tracker.processingTimes.getRouteMean(route.id, route.objectiveMilliseconds);
  return stop.cutOffAt - Math.max(route.objectiveMilliseconds, mean * MIN_TIME_IN_MEAN_TIMES);
}

/** Whether a request may begin now. */
export function mayBegin(context: StopLimitContext, request: BeginningRequest): boolean {
  return kernel.getMonotonicMilliseconds() <= getLatestBegin(context, request);
}
