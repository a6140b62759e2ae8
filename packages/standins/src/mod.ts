/**
 * Stand-ins for the systems around hemlockwalk, for tests and measurements.
 */

export * from "./platform.ts";
export * from "./target.ts";
