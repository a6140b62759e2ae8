/**
 * Refusals of requests for which no target was found.
 */

import type * as model from "@hemlockwalk/model";
import * as refusals from "./refusals.ts";
import type * as contexts from "./request_context.ts";
import type * as types from "./types.ts";

const NO_TARGETS: ReadonlySet<model.TargetId> = new Set();

type UnplacedContext = Pick<contexts.RequestContext, "tracker" | "queues">;

/** Value of Retry-After: the time until the first target accepts requests, if none does now. */
export function getRetryAfterSeconds(
  { tracker, queues }: UnplacedContext,
  { service, homes }: types.AcceptedRequest,
  otherwise: number,
): number {
  const wait = tracker.listCandidates(service, NO_TARGETS, homes).length === 0
    ? tracker.findShortestWait(service, NO_TARGETS, homes, queues.get(service).length)
    : undefined;
  return wait === undefined || !Number.isFinite(wait.milliseconds)
    ? otherwise
    : Math.ceil(wait.milliseconds / 100) / 10;
}

/**
 * Creates the refusal of a request that found no target.
 *
 * @param hasUsedAttempts Whether targets have received the request that another VM passed on.
 */
export function createUnplacedRefusal(
  context: UnplacedContext,
  accepted: types.AcceptedRequest,
  reason: types.RefusalReason,
  hasUsedAttempts = false,
): refusals.Refusal {
  if (reason === "evacuated" || reason === "outside_homes") {
    // Nothing tells when this ends, and another VM would refuse the request too.
    return { status: 503, reason };
  }
  if (reason === "stopping" && !hasUsedAttempts) {
    return refusals.createStopping();
  }
  const queue = context.queues.get(accepted.service);
  const retryAfterSeconds = getRetryAfterSeconds(
    context,
    accepted,
    refusals.getNoRoomSeconds(queue.estimateWait(accepted.priority, accepted.workspace)),
  );
  return { status: 503, reason: hasUsedAttempts ? "not_reached" : reason, retryAfterSeconds };
}

/** The refusal of a request whose time was over before it was sent to a target. */
export function createExpiredRefusal(): refusals.Refusal {
  const retryAfterSeconds = refusals.RETRY_AFTER_SECONDS.noRoom;
  return { status: 503, reason: "no_room", retryAfterSeconds };
}
