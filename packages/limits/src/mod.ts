/**
 * Rate limits that hold for the whole fleet, and fair queueing for services at capacity.
 */

export * from "./arrival_order_queue.ts";
export * from "./create_rate_limiter.ts";
export type * from "./errors.ts";
export * from "./escrow_limiter.ts";
export * from "./reserved_policy.ts";
export * from "./safety_margins.ts";
export { getShard, SHARD_COUNT } from "./shards.ts";
export * from "./static_share_limiter.ts";
export * from "./token_bucket.ts";
export type * from "./types.ts";
export * from "./weighted_fair_queue.ts";
