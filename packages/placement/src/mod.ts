/**
 * Decisions over plain values: belief in targets, choice of a target, waiting and shared budgets.
 */

export * from "./chooser.ts";
export * from "./health_estimate.ts";
export * from "./processing_times.ts";
export * from "./request_queue.ts";
export * from "./shared_bucket.ts";
