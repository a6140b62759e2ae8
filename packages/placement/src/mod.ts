/**
 * Placement decisions over plain values: health estimates of targets, choice of a target, request
 * queues, shared token buckets, tokens for retries, rates of targets and requests under which targets end.
 */

export * from "./choice_explanation.ts";
export * from "./chooser.ts";
export * from "./crash_evidence.ts";
export * from "./expected_fleet.ts";
export * from "./fleet_memory.ts";
export * from "./health_estimate.ts";
export * from "./hedging.ts";
export * from "./home_policy.ts";
export * from "./isolation.ts";
export * from "./open_calls.ts";
export * from "./peer_choice.ts";
export * from "./processing_times.ts";
export * from "./rate_pressure.ts";
export * from "./request_queue.ts";
export * from "./retry_allowance.ts";
export * from "./retry_pool.ts";
export * from "./return_times.ts";
export * from "./shared_bucket.ts";
export * from "./target_pauses.ts";
export * from "./target_rates.ts";
export * from "./urgency.ts";
