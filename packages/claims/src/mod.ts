/**
 * Claims ensure that a request that a caller repeats with the same `Idempotency-Key` runs only
 * once.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as types from "./types.ts";

export * from "./claim_counters.ts";
export { type ClaimTiming, createTiming, DEFAULT_TIMING } from "./claim_timing.ts";
export * from "./fleet_claim_store.ts";
export type * from "./types.ts";

/** Service name of the claim store. */
export const CLAIM_STORE = kernel.createServiceName<types.ClaimStore>("claim-store");
