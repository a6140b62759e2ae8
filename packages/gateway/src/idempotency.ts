/**
 * Requests with an `Idempotency-Key`: a request that the caller repeats runs only once.
 */

import * as crypto from "node:crypto";
import type * as http from "node:http";
import type * as claims from "@hemlockwalk/claims";
import * as kernel from "@hemlockwalk/kernel";
import * as neverthrow from "neverthrow";
import type * as answers from "./answers.ts";
import type * as bodies from "./bodies.ts";
import type * as meters from "./meters.ts";
import * as refusals from "./refusals.ts";
import type * as runs from "./request_run.ts";
import type * as types from "./types.ts";

const IDEMPOTENCY_KEY_HEADER = "idempotency-key";

const IDEMPOTENCY_KEY = /^[\x21-\x7e]{1,255}$/;

/** `Retry-After` for the repeat of a request that is still running. */
const RUNNING_RETRY_AFTER_MILLISECONDS = 1_000;

/** How a claimed request proceeds: it runs, or the stored response is sent. */
export type ClaimOutcome =
  | { readonly kind: "run"; readonly claim: claims.Claim }
  | { readonly kind: "replay"; readonly answer: claims.StoredAnswer };

type ClaimResult = neverthrow.Result<ClaimOutcome, refusals.Refusal>;

/**
 * The `Idempotency-Key` under which to claim a request; undefined if the request has none, is
 * idempotent by its method, or came on an open route.
 */
export function findIdempotencyKey(
  request: http.IncomingMessage,
  accepted: types.AcceptedRequest,
): string | undefined {
  const value = request.headers[IDEMPOTENCY_KEY_HEADER];
  if (value === undefined || accepted.idempotent || accepted.workspace === undefined) {
    return undefined;
  }
  return String(value);
}

/** Claims a request in the fleet's claim store. The buffering of its body must have ended. */
export async function claimRequest(
  store: claims.ClaimStore,
  idempotencyKey: string,
  accepted: types.AcceptedRequest,
  body: bodies.RequestBody,
  gatewayMeters: meters.GatewayMeters,
): Promise<ClaimResult> {
  if (!IDEMPOTENCY_KEY.test(idempotencyKey)) {
    return neverthrow.err(
      refusals.createNotRunRefusal(refusals.Refusals.idempotencyKeyInvalid),
    );
  }
  if (!body.isComplete) {
    return neverthrow.err(
      refusals.createNotRunRefusal(refusals.Refusals.idempotencyBodyTooLarge),
    );
  }
  const decision = await store.claim({
    workspace: kernel.getDefined(accepted.workspace, "A claimed request has a workspace.").id,
    idempotencyKey,
    fingerprint: createFingerprint(accepted, body),
    deadlineMilliseconds: accepted.deadlineMilliseconds,
  });
  gatewayMeters.claims.inc({ decision: decision.kind });
  return mapDecision(decision);
}

function mapDecision(decision: claims.ClaimDecision): ClaimResult {
  const rows = refusals.Refusals;
  switch (decision.kind) {
    case "granted":
      return neverthrow.ok({ kind: "run", claim: decision.claim });
    case "stored":
      return neverthrow.ok({ kind: "replay", answer: decision.answer });
    case "running":
      return neverthrow.err(
        refusals.createUnknownRefusal(rows.idempotencyRunning, RUNNING_RETRY_AFTER_MILLISECONDS),
      );
    case "unknown":
      return neverthrow.err(refusals.createUnknownRefusal(rows.idempotencyUnknown));
    case "mismatch":
      return neverthrow.err(refusals.createNotRunRefusal(rows.idempotencyMismatch));
    case "unavailable":
      return neverthrow.err(
        refusals.createNotRunRefusal(
          rows.idempotencyUnavailable,
          decision.retryAfterMilliseconds,
        ),
      );
    default:
      return kernel.assertNever(decision);
  }
}

/** Records the result of a claimed request in the claim store. */
export function settleClaim(
  claim: claims.Claim,
  result: runs.ForwardResult,
  answer: answers.CallerAnswer,
): void {
  if (result.answered) {
    claim.complete(answer.getRecorded());
  } else if (result.refusal?.run === "no") {
    claim.abandon();
  } else {
    claim.fail();
  }
}

/** Digest of the parts that a repeat must share: host, method, path, query and body. */
function createFingerprint(accepted: types.AcceptedRequest, body: bodies.RequestBody): string {
  const hash = crypto.createHash("sha256");
  for (const part of [accepted.head.host, accepted.head.method, accepted.target]) {
    // The length prefix makes the concatenation unambiguous.
    hash.update(`${part.length}:${part}`);
  }
  for (const chunk of body.chunks) {
    hash.update(chunk);
  }
  return hash.digest("hex");
}
