/**
 * The request path of a fleet in which every VM holds the complete declarations.
 */

export * from "./ahead_budget.ts";
export * from "./attempt_count.ts";
export * from "./attempt_race.ts";
export * from "./budgets.ts";
export * from "./caller_connection.ts";
export * from "./connection_record.ts";
export * from "./crash_exchange.ts";
export * from "./explanation_listener.ts";
export * from "./further_attempt.ts";
export * from "./hedged_call.ts";
export * from "./listener.ts";
export * from "./path_monitor.ts";
export * from "./placement_explanation.ts";
export * from "./proxy_vm.ts";
export * from "./publisher.ts";
export * from "./reachability.ts";
export * from "./request_log.ts";
export * from "./response_sizes.ts";
export type { PlacedTarget } from "./request_placer.ts";
export * from "./start_gate.ts";
export * from "./store_follower.ts";
export type { CallResult } from "./target_call.ts";
export * from "./target_tracker.ts";
export * from "./types.ts";
