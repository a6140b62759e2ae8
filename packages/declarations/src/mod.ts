/**
 * Versions of the complete declarations, of which a VM may skip some but never reverts to an older
 * one, and the current list of targets.
 */

export * from "./declaration_store.ts";
export * from "./evacuations.ts";
export * from "./list_coverage.ts";
export * from "./route_table.ts";
export * from "./store_position.ts";
export * from "./target_directory.ts";
export * from "./target_facts.ts";
export * from "./target_list.ts";
export type * from "./types.ts";
