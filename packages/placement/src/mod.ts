/**
 * Decisions over plain values: belief in targets, choice of a target, waiting and shared budgets.
 */

export * from "./belief.ts";
export * from "./chooser.ts";
export * from "./shared_bucket.ts";
export * from "./waiting_line.ts";
export * from "./work_times.ts";
