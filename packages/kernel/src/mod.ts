/**
 * The micro-kernel: registration and lookup of services, clocks, logs and metrics.
 */

export * from "./address.ts";
export * from "./assert.ts";
export * from "./bounded_output.ts";
export * from "./clock.ts";
export * from "./event_loop_watch.ts";
export * from "./hash.ts";
export * from "./http_fields.ts";
export * from "./http_status.ts";
export * from "./kernel.ts";
export * from "./listening.ts";
export * from "./log_messages.ts";
export * from "./logging.ts";
export * from "./metrics.ts";
export * from "./pause_detector.ts";
export type * from "./types.ts";
