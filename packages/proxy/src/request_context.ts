/**
 * The context that the handlers of all requests share.
 */

import type * as declarations from "@hemlockwalk/declarations";
import type * as budgets from "./budgets.ts";
import type * as crashes from "./crash_monitor.ts";
import type * as givenUp from "./given_up.ts";
import type * as forwarded from "./forwarded_requests.ts";
import type * as hedges from "./hedges.ts";
import type * as log from "./request_log.ts";
import type * as gates from "./start_gate.ts";
import type * as sizes from "./response_sizes.ts";
import type * as calls from "./target_call.ts";
import type * as connections from "./target_connections.ts";
import type * as trackers from "./target_tracker.ts";
import type * as types from "./types.ts";
import type * as paths from "./path_monitor.ts";
import type * as peers from "./serving_peers.ts";
import type * as requestQueues from "./request_queues.ts";

/** Services and settings that request handlers use. */
export interface RequestContext {
  readonly profile: types.HeaderProfile;
  readonly store: declarations.DeclarationStore;
  readonly tracker: trackers.TargetTracker;
  readonly budgets: budgets.Budgets;
  readonly hedges: hedges.Hedges;
  readonly connections: connections.TargetConnections;
  readonly log: log.RequestLog;
  readonly crashes: crashes.CrashMonitor;
  readonly queues: requestQueues.RequestQueues;
  readonly responseSizes: sizes.ResponseSizes;
  readonly counters: {
    /** Requests of callers. */
    readonly requests: { inc(labels: { outcome: string }): void };
    /** Requests that another VM has passed on. */
    readonly served: { inc(labels: { outcome: string }): void };
    /** Refusals of targets, by what tells to which attempt they belong, believed or not. */
    readonly targetRefusals: {
      inc(labels: { reason: string; attribution: "named" | "unnamed" | "repeated" }): void;
    };
    /** Responses of targets that name another request than the one that they arrived for. */
    readonly foreignResponses: { inc(labels: Record<string, never>): void };
    /** Attempts that this VM has ended while they ran. */
    readonly attemptsGivenUp: { inc(labels: { reason: givenUp.GivingUpReason }): void };
  };
  readonly latency: { record(milliseconds: number): void };
  /** Records that an incarnation of a target has said that it leaves. */
  readonly recordLeaving: (target: declarations.TargetEntry) => void;
  /** Records what a response of a target states of the rate that it accepts from all VMs. */
  readonly recordRate: (target: declarations.TargetEntry, notice: calls.TargetNotice) => void;
  /** Monotonic time of the store's latest response to any VM. */
  readonly getConfirmedAt: () => number;
  readonly stop: types.StopState;
  readonly path: paths.PathMonitor;
  readonly peers: peers.ServingPeers;
  readonly forwardedRequests: forwarded.ForwardedRequests;
  readonly startGate: gates.StartGate;
}
