/**
 * Types by which the gateway ensures that a request that a caller repeats does not run again.
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

/** A response that is stored for the caller's repeated requests. */
export interface StoredAnswer {
  readonly status: number;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

/** The right to run a request. Exactly one of its methods is called, once. */
export interface Claim {
  /** The request ran and this is its response; undefined if the response was too large to store. */
  complete(answer: StoredAnswer | undefined): void;
  /** The request provably did not run; the key may be used again. */
  abandon(): void;
  /** It is not known whether the request ran; no repeated request may run. */
  fail(): void;
}

/** What a VM may do with a request that carries an `Idempotency-Key`. */
export type ClaimDecision =
  | { readonly kind: "granted"; readonly claim: Claim }
  /** The request ran before; the caller receives the stored response. */
  | { readonly kind: "stored"; readonly answer: StoredAnswer }
  /** The request is running, on this VM or another. */
  | { readonly kind: "running" }
  /** The request ran or may have run, and no response is stored. */
  | { readonly kind: "unknown" }
  /** The key was used for a different request. */
  | { readonly kind: "mismatch" }
  /** The claim could not be decided; the request did not run. */
  | { readonly kind: "unavailable"; readonly retryAfterMilliseconds: number };

/** Decides on requests that carry an `Idempotency-Key`, over the whole fleet. */
export interface ClaimStore extends kernel.Service {
  /** Settles before the deadline. */
  claim(request: ClaimRequest): Promise<ClaimDecision>;
}
