/**
 * Types of the request path.
 */

import type * as declarations from "@hemlockwalk/declarations";
import type * as model from "@hemlockwalk/model";

/** Names, in lower case, under which callers and targets exchange what the request path must know. */
export interface HeaderProfile {
  /** Identifier of one request, echoed in its answer. */
  readonly requestId: string;
  /** Milliseconds that the caller waits; towards targets, what is left of them. */
  readonly deadline: string;
  /** Identifier of the only target that may run the request. */
  readonly expectedTarget: string;
  /** Workspace for which the request runs. */
  readonly workspace: string;
  /** Mark of a target's answer that it has not run the request. */
  readonly notRun: string;
  /** Mark of an answer that a target itself has made. */
  readonly signature: string;
  /** Authentication scheme of a caller's key. */
  readonly keyScheme: string;
}

/** Fleet-wide bounds that the operator's platform sets. */
export interface ProxyBounds {
  /** Retries against the requests for a service. */
  readonly retryRatio: number;
  /** Retries beyond that ratio within a window. */
  readonly retrySlack: number;
  /** Window over which a workspace's rate is judged, in seconds. */
  readonly rateWindowSeconds: number;
  /** Tolerated excess over rate and burst within the window, as a share. */
  readonly rateExcess: number;
  /** Requests tolerated beyond that. */
  readonly rateSlack: number;
  /** From the signal to stop to the end of the process, in milliseconds. */
  readonly graceMilliseconds: number;
}

/** A request whose head has been accepted. */
export interface AcceptedRequest {
  readonly id: string;
  readonly route: declarations.DeclaredRoute;
  readonly workspace: declarations.DeclaredWorkspace | undefined;
  readonly service: model.ServiceId;
  readonly priority: number;
  /** Monotonic time of its arrival, in milliseconds. */
  readonly arrivedAt: number;
  /** Monotonic time at which it must have its final answer. */
  readonly endsAt: number;
  readonly method: string;
  readonly path: string;
  /** Names and values in turn, without what concerns one connection or the caller's key. */
  readonly headers: readonly string[];
}

/** Why the proxy itself ended a request. The names appear in metrics, logs and answers. */
export type RefusalReason =
  | "no_declarations"
  | "unknown_route"
  | "unknown_key"
  | "over_rate"
  | "no_target"
  | "no_room"
  | "not_reached"
  | "body_too_large"
  | "head_too_large"
  | "caller_left"
  | "timeout"
  | "target_failed";
