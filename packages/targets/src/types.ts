/**
 * Types through which the gateway obtains a target for a request.
 */

import type * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";

/** 32-bit hash of an identifier, by which messages between VMs name targets and routes. */
export type ShortId = model.Brand<number, "ShortId">;

/** How a call shows that its target is failing. Counts of `failed` include `broken`. */
export type FaultKind =
  /** No complete response: the call was refused, reset, truncated, or got no response in time. */
  | "broken"
  /** An error response, or no complete response. */
  | "failed"
  /** A response that took much longer than the other responses of the route. */
  | "slow";

/** What a call counts as when its target is evaluated. */
export type EvidenceKind = "good" | "shed" | FaultKind;

/**
 * The requests that a verdict applies to. An absent field stands for all data centres or routes.
 */
export interface VerdictScope {
  /** Only requests from VMs of this data centre, since the network path from there is at fault. */
  readonly dataCentre?: model.DataCentreId | undefined;
  /** Only requests of this route. */
  readonly route?: ShortId | undefined;
}

/** The decision to eject a target, with its scope, state and remaining duration. */
export interface Verdict {
  readonly target: ShortId;
  readonly scope: VerdictScope;
  /** `out`: no requests. `trial`: a few idempotent requests from the VMs selected for it. */
  readonly state: "out" | "trial";
  /** Time until trial requests begin. */
  readonly remainingMilliseconds: number;
  /** Number of recent ejections, including failed trials. Each one doubles the duration. */
  readonly ejectionCount: number;
}

/** A target that a strategy may choose. */
export interface Candidate {
  readonly target: model.Target;
  /** Requests of this VM that run on the target. */
  readonly running: number;
  /** Requests that all other VMs run on the target, as last reported. */
  readonly peerLoad: number;
  /** Maximum number of concurrent requests from the whole fleet. */
  readonly slots: number;
  /** Average latency of recent calls in milliseconds; undefined without a recent call. */
  readonly latencyMilliseconds: number | undefined;
  /** Weight from 0 to 1, reduced while the target is new, has just returned, or sheds load. */
  readonly readiness: number;
  /** Whether the target is in this VM's data centre. */
  readonly near: boolean;
}

/** Chooses among the targets that are in use and have a free slot. */
export interface ChoiceStrategy {
  /** Undefined only when there are no candidates. */
  choose(service: model.ServiceId, candidates: readonly Candidate[]): Candidate | undefined;
}

/** Checks the health of a target directly, without a caller's request. */
export interface Probe {
  /** Whether the target is healthy. Never rejects. */
  check(target: model.Target, signal: AbortSignal): Promise<boolean>;
}

/** Reports when the process last resumed after a pause. */
export interface PauseSource {
  readonly lastResumeMilliseconds: number;
  onResume(listener: (milliseconds: number) => void): void;
}

/** How one call to a target ended. */
export type CallResult =
  | "success"
  /** The target responded with a status of 500 or above. */
  | "server_error"
  /** The target rejected the call to shed load; not evidence that it is failing. */
  | "shed"
  /** The connection was refused or could not be opened in time; nothing was sent. */
  | "connect_failed"
  /** The connection ended before a response began. */
  | "reset"
  /** The response began, but was cut off. */
  | "truncated"
  | "timeout"
  /** The caller cancelled the request; not evidence about the target. */
  | "cancelled";

/** The outcome of a call to a target. */
export interface CallOutcome {
  readonly result: CallResult;
  /** Time until the response headers, or until the failure if there was no response. */
  readonly latencyMilliseconds: number;
  readonly route: model.RouteId;
}

/** The right to run one request on one target. */
export interface TargetLease {
  readonly target: model.Target;
  /** Returns the slot and records the outcome of the call. Only the first release has an effect. */
  release(outcome: CallOutcome): void;
}

/** The properties of a request that determine the choice of its target. */
export interface TargetRequest {
  readonly service: model.ServiceId;
  readonly route: model.RouteId;
  /** Only idempotent requests may be sent to an ejected target as trial requests. */
  readonly idempotent: boolean;
  /** Targets to which the request has already been sent. */
  readonly exclude: ReadonlySet<model.TargetId>;
}

/** Chooses targets for requests and evaluates targets by the outcomes of their calls. */
export interface TargetPool extends kernel.Service {
  /** Acquires a slot on a target; undefined while the service has none free for this VM. */
  tryAcquire(request: TargetRequest): TargetLease | undefined;
  /**
   * Connections that this VM may keep open to a target, so that the fleet stays within its limit.
   */
  getConnectionLimit(target: model.TargetId): number;
  /** Calls the listener whenever slots of a service may have become free. */
  onCapacity(listener: (service: model.ServiceId) => void): void;
}
