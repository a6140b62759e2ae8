/**
 * The gateway: accepts callers' HTTP requests and forwards them to targets.
 */

export * from "./gateway.ts";
export * from "./refusals.ts";
export type * from "./types.ts";
