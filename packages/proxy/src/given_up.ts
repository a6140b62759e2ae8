/**
 * Records attempts that this VM has ended while a target, or another VM, may have been at work on
 * them.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as contexts from "./request_context.ts";
import type * as log from "./request_log.ts";
import type * as types from "./types.ts";

/** A timer of the runtime may fire this much early. */
const TIMER_RESOLUTION_MILLISECONDS = 1;

/** Why an attempt that ran was ended. The names appear in metrics and traces. */
export type GivingUpReason =
  /** The request's time was over. */
  | "deadline"
  | "caller_left"
  /** The grace period of a stop was about to end. */
  | "cut_off"
  /** Another attempt had a response. */
  | "outlasted"
  /** The request's body was too large or could not be read. */
  | "invalid_request";

/** Where an attempt ran. */
export type AttemptPlace = { readonly target: string } | { readonly vm: string };

/**
 * Counts an attempt, and adds it to the trace, when its signal is aborted. Returns a function that is
 * to be called when the attempt has a result.
 */
export function watchAttempt(
  context: Pick<contexts.RequestContext, "counters" | "stop">,
  trace: Pick<log.RequestTrace, "add">,
  { endsAt }: Pick<types.AcceptedRequest, "endsAt">,
  place: AttemptPlace,
  signal: AbortSignal,
): () => void {
  const startedAt = kernel.getMonotonicMilliseconds();
  const onAbort = () => {
    const now = kernel.getMonotonicMilliseconds();
    const isOver = endsAt - now < TIMER_RESOLUTION_MILLISECONDS;
    const reason = isOver ? "deadline" : signal.reason as GivingUpReason;
    context.counters.attemptsGivenUp.inc({ reason });
    trace.add("given_up", {
      ...place,
      reason,
      ran: Math.round(now - startedAt),
      left: Math.round(endsAt - now),
      stopping: context.stop.isStopping,
    });
  };
  signal.addEventListener("abort", onAbort, { once: true });
  return () => signal.removeEventListener("abort", onAbort);
}
