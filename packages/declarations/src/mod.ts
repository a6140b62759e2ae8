/**
 * Whole declarations, which a VM may skip but never takes back, and the live list of targets.
 */

export * from "./declaration_store.ts";
export * from "./route_table.ts";
export * from "./target_directory.ts";
export type * from "./types.ts";
