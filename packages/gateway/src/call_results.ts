/**
 * Maps the end of an attempt to a call result for target health and to a refusal for the caller.
 */

import type * as limits from "@hemlockwalk/limits";
import type * as targets from "@hemlockwalk/targets";
import type * as races from "./attempt_race.ts";
import * as bodies from "./bodies.ts";
import type * as exchanges from "./exchange.ts";
import * as refusals from "./refusals.ts";
import type * as runs from "./request_run.ts";

/** A missed deadline counts as a timeout of the target only if the target had this much time. */
const MINIMUM_TARGET_TIMEOUT_MILLISECONDS = 500;

/** Maps an attempt to the result that is reported for its target. */
export function getCallResult(
  ready: runs.ReadyRequest,
  result: exchanges.AttemptResult,
  attempt: races.RacingAttempt,
  reused: boolean,
): targets.CallResult {
  switch (result.end) {
    case "answered":
      return (result.status ?? 0) >= 500 ? "server_error" : "success";
    case "not_run_signal":
      return "shed";
    case "reset":
      // A reused connection may have been closed for idleness, which is no failure of the target.
      return reused ? "cancelled" : "reset";
    case "malformed":
    case "unframed":
      return "server_error";
    case "ended":
      return isTargetTimeout(ready, result, attempt) ? "timeout" : "cancelled";
    case "body_failed":
    case "invalid":
      return "cancelled";
    default:
      return result.end;
  }
}

function isTargetTimeout(
  ready: runs.ReadyRequest,
  result: exchanges.AttemptResult,
  attempt: races.RacingAttempt,
): boolean {
  if (attempt.hasLost) {
    return attempt.isSilent && result.sent && result.status === undefined;
  }
  return ready.running.endReason === "deadline" && result.status === undefined &&
    result.targetMilliseconds >= MINIMUM_TARGET_TIMEOUT_MILLISECONDS;
}

/** The refusal of a request that got no slot, although it was not ended. */
export function createQueueRefusal(
  refusal: limits.QueueRefusal,
  run: runs.RequestRun,
): refusals.Refusal {
  const row = refusal.kind === "queue_full"
    ? refusals.Refusals.queueFull
    : refusals.Refusals.queueTimeout;
  return run.createRefusal(row, refusal.retryAfterMilliseconds);
}

/** The refusal of a request that was ended by a withdrawn key or its deadline. */
export function createEndRefusal(run: runs.RequestRun): refusals.Refusal {
  const row = run.ready.running.endReason === "key_withdrawn"
    ? refusals.Refusals.keyWithdrawn
    : refusals.Refusals.deadlineExceeded;
  return run.createRefusal(row);
}

/** The refusal of a request whose body failed. */
export function createBodyRefusal(
  run: runs.RequestRun,
  error: Error | undefined,
): refusals.Refusal {
  const row = error instanceof bodies.BodyError
    ? error.refusal
    : refusals.Refusals.malformedRequest;
  return run.createRefusal(row);
}
