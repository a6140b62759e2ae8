/**
 * Targets: pools, detection of failing targets, and the choice of a target for a request.
 */

export * from "./round_robin_pool.ts";
export type * from "./types.ts";
