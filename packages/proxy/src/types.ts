/**
 * Types of the request path.
 */

import type * as declarations from "@hemlockwalk/declarations";
import type * as model from "@hemlockwalk/model";
import type * as placement from "@hemlockwalk/placement";

/** Names, in lower case, of the headers that the proxy exchanges with callers and targets. */
export interface HeaderProfile {
  /** Identifier of a request, echoed in its response. */
  readonly requestId: string;
  /** Milliseconds that the caller waits; in a request to a target, the remaining time. */
  readonly deadline: string;
  /** Identifier of the only target that may run the request. */
  readonly expectedTarget: string;
  /** Workspace for which the request runs. */
  readonly workspace: string;
  /** Present in the response of a target that has not run the request. */
  readonly notRun: string;
  /** Present in a response that was created by the target itself. */
  readonly signature: string;
  /** Present, with the value 1, in every response of a target that is about to end. */
  readonly leaving: string;
  /**
   * In every response of a target in need: the requests per second that it accepts from all VMs
   * together.
   */
  readonly rateLimit: string;
  /** Authentication scheme of a caller's key. */
  readonly keyScheme: string;
}

/** Fleet-wide bounds, set by the operator's platform. */
export interface ProxyBounds {
  /** Ratio of retries to requests of a service. */
  readonly retryRatio: number;
  /** Retries allowed beyond that ratio within a window. */
  readonly retrySlack: number;
  /** Window over which a workspace's rate is evaluated, in seconds. */
  readonly rateWindowSeconds: number;
  /** Tolerated excess over rate and burst within the window, as a share of them. */
  readonly rateExcess: number;
  /** Requests tolerated beyond that excess. */
  readonly rateSlack: number;
  /** Time from the stop signal to the end of the process, in milliseconds. */
  readonly graceMilliseconds: number;
}

/** The operators' options on second attempts at other targets while the first still run. */
export interface HedgingOptions {
  /** Extra attempts allowed for each request of a service, from 0 to 0.2; 0: none. */
  readonly maxExtraShare: number;
  /** The same for single services, in place of the above. */
  readonly services: ReadonlyMap<string, number>;
}

/** The options if there are none: no second attempts. */
export const NO_HEDGING: HedgingOptions = { maxExtraShare: 0, services: new Map() };

/** The stop of a VM. */
export interface StopState {
  /** Whether it has been asked to stop; it still accepts connections. */
  readonly isStopping: boolean;
  /** Whether it accepts no further connections, so that each response ends its connection. */
  readonly isClosing: boolean;
  /** Monotonic time at which running requests are cut off, in milliseconds; infinite before. */
  readonly cutOffAt: number;
}

/** What the handling of an accepted request depends on in its route. */
export type AcceptedRoute = Pick<
  declarations.DeclaredRoute,
  "id" | "isIdempotent" | "objectiveMilliseconds" | "attempts"
>;

/** A request that has passed admission. */
export interface AcceptedRequest {
  readonly id: string;
  readonly route: AcceptedRoute;
  /** Undefined on a public route. */
  readonly workspace: model.WorkspaceId | undefined;
  readonly service: model.ServiceId;
  readonly priority: number;
  /** Regions outside which it must not be sent. */
  readonly homes: placement.Homes;
  /** Monotonic time of its arrival, in milliseconds. */
  readonly arrivedAt: number;
  /** Monotonic time by which it must have its final response, in milliseconds. */
  readonly endsAt: number;
  /** Whether this VM accepted no further connections when it was read. */
  readonly isLate: boolean;
  readonly method: string;
  readonly path: string;
  /** Names and values in turn, without the caller's key and the headers of a single connection. */
  readonly headers: readonly string[];
}

/** Why the proxy itself ended a request. The names appear in metrics, logs and responses. */
export const REFUSAL_REASONS = [
  "no_declarations",
  "unknown_route",
  "unknown_key",
  "over_rate",
  "no_target",
  "no_room",
  "targets_paused",
  "targets_limited",
  "evacuated",
  "outside_homes",
  "isolated",
  "invalid_forward",
  "invalid_request",
  "internal_error",
  "unknown_peer",
  "undeclared_forward",
  "stopping",
  "not_reached",
  "quarantined",
  "body_too_large",
  "head_too_large",
  "caller_left",
  "timeout",
  "target_failed",
  "length_unknown",
] as const;

export type RefusalReason = typeof REFUSAL_REASONS[number];
