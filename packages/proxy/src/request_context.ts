/**
 * What the handling of every request works with.
 */

import type * as declarations from "@hemlockwalk/declarations";
import type * as budgets from "./budgets.ts";
import type * as log from "./request_log.ts";
import type * as gates from "./start_gate.ts";
import type * as connections from "./target_connections.ts";
import type * as knowledge from "./target_tracker.ts";
import type * as types from "./types.ts";
import type * as waitingLines from "./request_queues.ts";

/** What the request path works with. */
export interface RequestContext {
  readonly profile: types.HeaderProfile;
  readonly store: declarations.DeclarationStore;
  readonly knowledge: knowledge.TargetKnowledge;
  readonly budgets: budgets.Budgets;
  readonly connections: connections.TargetConnections;
  readonly log: log.RequestLog;
  readonly lines: waitingLines.WaitingLines;
  readonly counters: { readonly requests: { inc(labels: { outcome: string }): void } };
  readonly latency: { record(milliseconds: number): void };
  /** Monotonic time of the latest answer of the store to any VM. */
  readonly getConfirmedAt: () => number;
  readonly isStopping: () => boolean;
  readonly startGate: gates.StartGate;
}
