/**
 * What an attempt says of its target, and what it leaves to tell the caller.
 */

import type * as limits from "@hemlockwalk/limits";
import type * as targets from "@hemlockwalk/targets";
import * as bodies from "./bodies.ts";
import type * as exchanges from "./exchange.ts";
import * as refusals from "./refusals.ts";
import type * as runs from "./request_run.ts";

/** A target is not blamed for missing a deadline that the caller set shorter than this. */
const FAIR_TARGET_MILLISECONDS = 500;

/** What a call says of its target. */
export function getCallResult(
  ready: runs.ReadyRequest,
  result: exchanges.AttemptResult,
  reused: boolean,
): targets.CallResult {
  switch (result.end) {
    case "answered":
      return (result.status ?? 0) >= 500 ? "server_error" : "success";
    case "not_run_signal":
      return "shed";
    case "reset":
      // An old connection that is found closed says nothing about the target behind it.
      return reused ? "cancelled" : "reset";
    case "attempt_timeout":
      return "timeout";
    case "unframed":
      return "server_error";
    case "ended":
      return isTargetToBlame(ready, result) ? "timeout" : "cancelled";
    case "body_failed":
    case "invalid":
      return "cancelled";
    default:
      return result.end;
  }
}

function isTargetToBlame(ready: runs.ReadyRequest, result: exchanges.AttemptResult): boolean {
  return ready.running.endReason === "deadline" && result.status === undefined &&
    result.targetMilliseconds >= FAIR_TARGET_MILLISECONDS;
}

/** What the caller is told when its request found no slot. */
export function createQueueRefusal(
  refusal: limits.QueueRefusal,
  run: runs.RequestRun,
): refusals.Refusal {
  if (refusal.kind === "cancelled") {
    return createEndRefusal(run);
  }
  const row = refusal.kind === "queue_full"
    ? refusals.Refusals.queueFull
    : refusals.Refusals.queueTimeout;
  return run.createRefusal(row, refusal.retryAfterMilliseconds);
}

/** What the caller is told when its request was ended from outside. */
export function createEndRefusal(run: runs.RequestRun): refusals.Refusal {
  const row = run.ready.running.endReason === "key_withdrawn"
    ? refusals.Refusals.keyWithdrawn
    : refusals.Refusals.deadlineExceeded;
  return run.createRefusal(row);
}

/** What the caller is told when its body failed. */
export function createBodyRefusal(
  run: runs.RequestRun,
  error: Error | undefined,
): refusals.Refusal {
  const row = error instanceof bodies.BodyError
    ? error.refusal
    : refusals.Refusals.malformedRequest;
  return run.createRefusal(row);
}
