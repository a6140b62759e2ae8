/**
 * Small stand-ins of what is outside the system, for tests and measurement.
 */

export * from "./platform.ts";
export * from "./target.ts";
