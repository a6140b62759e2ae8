/**
 * The daemon as a library: creates the services of one VM.
 */

export * from "./administration.ts";
export * from "./virtual_machine.ts";
