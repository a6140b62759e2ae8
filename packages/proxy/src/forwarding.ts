/**
 * What one VM tells another when it passes a request on: the decisions that it has made about it.
 *
 * The VM that took the request from its caller has checked its route, key and rate. The other one
 * places it on a target as its own and never passes it on again.
 */

import * as kernel from "@hemlockwalk/kernel";
import * as neverthrow from "neverthrow";
import * as zod from "zod/mini";
import type * as refusals from "./refusals.ts";
import type * as types from "./types.ts";

/** Most targets that one request may be sent to; far more than a route allows. */
export const MAX_ATTEMPTS = 1_000;

/** Longest time for a response. A timer of Node.js with a longer delay expires at once. */
export const MAX_LEFT_MILLISECONDS = 2_147_483_647;

const decisionsSchema = zod.object({
  route: zod.string(),
  isIdempotent: zod.boolean(),
  objective: zod.number().check(zod.positive()),
  attempts: zod.int().check(zod.positive(), zod.lte(MAX_ATTEMPTS)),
  workspace: zod.optional(zod.string()),
  service: zod.string(),
  priority: zod.number(),
  left: zod.int().check(zod.nonnegative(), zod.lte(MAX_LEFT_MILLISECONDS)),
});

/** The decisions about a request; identifiers and settings are those of the VM that sent them. */
export type ForwardedDecisions = Readonly<zod.infer<typeof decisionsSchema>>;

/**
 * Encodes the decisions about a request as the value of a header.
 *
 * @param attempts Targets to which the other VM may still send it.
 */
export function encodeForwarded(request: types.AcceptedRequest, attempts: number): string {
  const { route, service, priority } = request;
  const left = Math.floor(request.endsAt - kernel.getMonotonicMilliseconds());
  const decisions: ForwardedDecisions = {
    route: route.id,
    isIdempotent: route.isIdempotent,
    objective: route.objectiveMilliseconds,
    attempts: Math.min(Math.max(Math.floor(attempts), 1), MAX_ATTEMPTS),
    ...(request.workspace === undefined ? {} : { workspace: request.workspace }),
    service,
    priority,
    left: Math.min(Math.max(left, 0), MAX_LEFT_MILLISECONDS),
  };
  return Buffer.from(JSON.stringify(decisions)).toString("base64url");
}

/** Decodes the value of the header; the error states what is invalid. */
export function decodeForwarded(
  text: string,
): neverthrow.Result<ForwardedDecisions, string> {
  let document: unknown;
  try {
    document = JSON.parse(Buffer.from(text, "base64url").toString());
  } catch (error) {
    return neverthrow.err(`The header is not valid JSON: ${String(error)}.`);
  }
  const parsed = zod.safeParse(decisionsSchema, document);
  if (!parsed.success) {
    const issues = parsed.error.issues.map((issue) => `${issue.path.join(".")}: ${issue.message}`);
    return neverthrow.err(`The header is not valid: ${issues.join("; ")}.`);
  }
  return neverthrow.ok(parsed.data);
}

/** Why a VM to which a request was passed on cannot serve it, though another one may. */
const LOCAL_REASONS: ReadonlySet<string> = new Set<types.RefusalReason>([
  "isolated",
  "no_declarations",
  "no_target",
  "unknown_peer",
  "undeclared_forward",
  "stopping",
]);

/** Whether another VM may serve a request that one has refused. */
export function mayServeElsewhere(refusal: refusals.Refusal): boolean {
  return refusal.status === 503 && LOCAL_REASONS.has(refusal.reason);
}

/**
 * Whether a VM has broken a request off, which may have run, since its own grace period ends. The
 * time of the request is not over.
 */
export function isCutOff(refusal: refusals.Refusal): boolean {
  return refusal.status === 504 && refusal.reason === "stopping";
}
