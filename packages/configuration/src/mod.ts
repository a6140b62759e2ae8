/**
 * Configuration: reading, checking and applying release notes.
 */

export * from "./apply_note.ts";
export * from "./configuration.ts";
export type * from "./errors.ts";
export * from "./platform_client.ts";
export * from "./snapshot.ts";
export type * from "./types.ts";
