/**
 * Types through which the gateway makes sure that a caller's own repeat does not run again.
 */

import type * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";

/** A request that carries an `Idempotency-Key`. */
export interface ClaimRequest {
  readonly workspace: model.WorkspaceId;
  /** The value of the caller's `Idempotency-Key` header. */
  readonly idempotencyKey: string;
  /** Digest of method, path and body, so that a key is not used for two different requests. */
  readonly fingerprint: string;
  /** On the monotonic clock. */
  readonly deadlineMilliseconds: number;
}

/** An answer that is kept for the caller's repeats. */
export interface StoredAnswer {
  readonly status: number;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

/** The right to run a request. Exactly one of its methods is called, once. */
export interface Claim {
  /** The request ran and this is its answer; undefined when the answer was too large to keep. */
  complete(answer: StoredAnswer | undefined): void;
  /** The request provably did not run; the key may be used again. */
  abandon(): void;
  /** It is not known whether the request ran; no repeat may run. */
  fail(): void;
}

/** What a VM may do with a request that carries an `Idempotency-Key`. */
export type ClaimDecision =
  | { readonly kind: "granted"; readonly claim: Claim }
  /** It ran before; the caller gets the stored answer. */
  | { readonly kind: "stored"; readonly answer: StoredAnswer }
  /** It runs now, on this VM or another. */
  | { readonly kind: "running" }
  /** It ran or may have run, and no answer is kept. */
  | { readonly kind: "unknown" }
  /** The key was used for a different request. */
  | { readonly kind: "mismatch" }
  /** Too few VMs could be asked; the request did not run. */
  | { readonly kind: "unavailable"; readonly retryAfterMilliseconds: number };

/** Decides on requests that carry an `Idempotency-Key`, over the whole fleet. */
export interface ClaimStore extends kernel.Service {
  /** Settles before the deadline. */
  claim(request: ClaimRequest): Promise<ClaimDecision>;
}
