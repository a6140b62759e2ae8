/**
 * Targets: pools, detection of failing targets, and the choice of a target for a request.
 */

export * from "./adaptive_pool.ts";
export * from "./create_target_pool.ts";
export * from "./http_probe.ts";
export * from "./least_loaded_strategy.ts";
export * from "./pool_options.ts";
export * from "./power_of_two_strategy.ts";
export * from "./random.ts";
export * from "./round_robin_strategy.ts";
export type * from "./types.ts";
