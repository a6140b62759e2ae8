/**
 * What one request contributes to the evidence on requests under which targets end, and what that
 * evidence means for it.
 */

import type * as declarations from "@hemlockwalk/declarations";
import type * as model from "@hemlockwalk/model";
import type * as bodies from "./body.ts";
import type * as headers from "./headers.ts";
import type * as refusals from "./refusals.ts";
import type * as contexts from "./request_context.ts";
import * as fingerprints from "./request_fingerprint.ts";
import * as log from "./request_log.ts";
import type * as calls from "./target_call.ts";
import type * as types from "./types.ts";

/** The evidence of one request. */
export class RequestEvidence {
  readonly #context: Pick<contexts.RequestContext, "crashes">;
  readonly #trace: log.RequestTrace;
  readonly #host: string | undefined;
  #fingerprint: model.RequestFingerprint | undefined;

  constructor(
    context: Pick<contexts.RequestContext, "crashes">,
    trace: log.RequestTrace,
    request: headers.RequestHead,
  ) {
    this.#context = context;
    this.#trace = trace;
    this.#host = request.headers.host;
  }

  /** The refusal of a request that is not sent to targets at present; undefined if it may be. */
  findRefusal(
    accepted: types.AcceptedRequest,
    body: bodies.RequestBody,
  ): refusals.Refusal | undefined {
    const { crashes } = this.#context;
    if (crashes.isIdle) {
      return undefined;
    }
    const fingerprint = this.#getFingerprint(accepted, body);
    const quarantine = crashes.findQuarantine(fingerprint);
    if (quarantine === undefined) {
      return undefined;
    }
    const { ends, remainingMilliseconds } = quarantine;
    this.#trace.add("quarantined", {
      fingerprint,
      targets: ends,
      remaining: Math.round(remainingMilliseconds),
    });
    const retryAfterSeconds = Math.ceil(remainingMilliseconds / 1_000);
    return { status: 503, reason: "quarantined", retryAfterSeconds };
  }

  /** Whether the request is not sent to targets at present. */
  isRefused(accepted: types.AcceptedRequest, body: bodies.RequestBody): boolean {
    const { crashes } = this.#context;
    return !crashes.isIdle &&
      crashes.findQuarantine(this.#getFingerprint(accepted, body)) !== undefined;
  }

  /** Whether a target has ended under the request since it last succeeded. */
  haveTargetsEnded(accepted: types.AcceptedRequest, body: bodies.RequestBody): boolean {
    const { crashes } = this.#context;
    return !crashes.isIdle && crashes.hasEnds(this.#getFingerprint(accepted, body));
  }

  /**
   * Records that a call failed.
   *
   * @param isGivenUp Whether the call was cancelled because its caller has left.
   */
  recordFailure(
    accepted: types.AcceptedRequest,
    body: bodies.RequestBody,
    target: declarations.TargetEntry,
    { reason, connection }: Extract<calls.CallResult, { kind: "failed" }>,
    isGivenUp: boolean,
  ): void {
    const fingerprint = this.#getFingerprint(accepted, body);
    this.#trace.add("failed", {
      target: target.id,
      reason,
      fingerprint,
      ...(connection === undefined ? {} : log.describeConnection(connection)),
    });
    // After a response that cannot be read, the target still runs.
    const hasResponded = reason === "spoilt" || reason === "foreign" || reason === "unattributed";
    if (!isGivenUp && !hasResponded) {
      this.#context.crashes.recordBreak(target, fingerprint);
    }
  }

  /** Records that a target has not responded for some time, for which it may have ended. */
  recordSilence(
    accepted: types.AcceptedRequest,
    body: bodies.RequestBody,
    target: declarations.TargetEntry,
    afterMilliseconds: number,
  ): void {
    this.#trace.add("silent", { target: target.id, after: Math.round(afterMilliseconds) });
    this.#context.crashes.recordBreak(target, this.#getFingerprint(accepted, body));
  }

  /** Records that a target has answered successfully. */
  recordSuccess(
    accepted: types.AcceptedRequest,
    body: bodies.RequestBody,
    answer: calls.TargetAnswer,
  ): void {
    // The target may still end while it sends the rest of a long response.
    if (answer.rest === undefined && !this.#context.crashes.isIdle) {
      this.#context.crashes.recordSuccess(this.#getFingerprint(accepted, body));
    }
  }

  #getFingerprint(
    accepted: types.AcceptedRequest,
    body: bodies.RequestBody,
  ): model.RequestFingerprint {
    this.#fingerprint ??= fingerprints.createFingerprint(accepted, this.#host, body);
    return this.#fingerprint;
  }
}
