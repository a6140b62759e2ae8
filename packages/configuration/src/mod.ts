/**
 * Configuration: reading, checking, applying and relaying release notes.
 */

export * from "./apply_note.ts";
export * from "./baseline.ts";
export * from "./baseline_loading.ts";
export * from "./configuration.ts";
export type * from "./errors.ts";
export * from "./platform_client.ts";
export { createHeadText, getNoteKey, HEAD_KEY } from "./platform_follower.ts";
export * from "./references.ts";
export * from "./slices.ts";
export * from "./snapshot.ts";
export type * from "./types.ts";
export { VM_LIST_SOURCE, VMS_KEY } from "./vm_list.ts";
