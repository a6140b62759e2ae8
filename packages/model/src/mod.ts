/**
 * Identifiers, settings and release notes with their schemas and diagnostics.
 */

export * from "./diagnostics.ts";
export * from "./document.ts";
export * from "./explanation_diagnostics.ts";
export * from "./ids.ts";
export * from "./release_note.ts";
export * from "./schemas.ts";
export * from "./settings.ts";
export type * from "./types.ts";
