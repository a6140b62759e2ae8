/**
 * Types through which the gateway obtains a target for a request.
 */

import type * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";

/** How one call to a target ended. */
export type CallResult =
  | "success"
  /** The target answered with a status of 500 or above. */
  | "server_error"
  /** The target said that it sheds load; no sign of sickness. */
  | "shed"
  /** The connection was refused or could not be opened in time; nothing was sent. */
  | "connect_failed"
  /** The connection ended before an answer began. */
  | "reset"
  /** The answer began and ended early. */
  | "truncated"
  | "timeout"
  /** The caller went away; says nothing about the target. */
  | "cancelled";

/** What a call showed of its target. */
export interface CallOutcome {
  readonly result: CallResult;
  /** Milliseconds until the answer's head; until the failure where there was no answer. */
  readonly latencyMilliseconds: number;
  readonly route: model.RouteId;
}

/** The right to run one request on one target. */
export interface TargetLease {
  readonly target: model.Target;
  /** Gives the slot back, with what the call showed. Only the first call counts. */
  release(outcome: CallOutcome): void;
}

/** What matters for the choice of a target. */
export interface TargetRequest {
  readonly service: model.ServiceId;
  readonly route: model.RouteId;
  /** Trial requests to a target under suspicion are idempotent ones only. */
  readonly idempotent: boolean;
  /** Targets that the same request was sent to before. */
  readonly exclude: ReadonlySet<model.TargetId>;
}

/** Chooses targets and learns from what their calls showed. */
export interface TargetPool extends kernel.Service {
  /** A slot on a target; undefined while the service has none free for this VM. */
  tryAcquire(request: TargetRequest): TargetLease | undefined;
  /** Connections that this VM may hold open to a target, so that the fleet keeps the declared limit. */
  getConnectionLimit(target: model.TargetId): number;
  /** Calls the listener whenever slots of a service may have become free. */
  onCapacity(listener: (service: model.ServiceId) => void): void;
}
