/**
 * The daemon as a library: the wiring of one VM.
 */

export * from "./administration.ts";
export * from "./virtual_machine.ts";
