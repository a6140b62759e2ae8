/**
 * Claims: a caller's repeat under the same `Idempotency-Key` never runs a second time.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as types from "./types.ts";

export * from "./claim_counters.ts";
export { type ClaimTiming, createTiming, DEFAULT_TIMING } from "./claim_timing.ts";
export * from "./fleet_claim_store.ts";
export type * from "./types.ts";

/** The name under which the claim store is found. */
export const CLAIM_STORE = kernel.createServiceName<types.ClaimStore>("claim-store");
