/**
 * The gateway: the caller-facing side of a VM.
 */

export * from "./gateway.ts";
export * from "./refusals.ts";
export type * from "./types.ts";
