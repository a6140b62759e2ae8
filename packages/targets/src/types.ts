/**
 * Types through which the gateway obtains a target for a request.
 */

import type * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";

/** 32-bit hash of an identifier, by which messages between VMs name targets and routes. */
export type ShortId = model.Brand<number, "ShortId">;

/** Ways in which a target can be sick. `failed` counts what is `broken` too. */
export type FaultKind =
  /** No whole answer came: refused, reset, truncated, or nothing for long. */
  | "broken"
  /** An answer with an error, or no whole answer. */
  | "failed"
  /** An answer that took much longer than the route's other answers. */
  | "slow";

/** What a call counts as when a target is judged. */
export type EvidenceKind = "good" | "shed" | FaultKind;

/** From where a target is out of use. Absent fields mean: from everywhere, for every route. */
export interface VerdictScope {
  /** Only from the VMs of this data centre: the path is at fault. */
  readonly dataCentre?: model.DataCentreId | undefined;
  /** Only for requests of this route. */
  readonly route?: ShortId | undefined;
}

/** That a target is out of use, from where, and for how long. */
export interface Verdict {
  readonly target: ShortId;
  readonly scope: VerdictScope;
  /** `out`: no requests. `trial`: few idempotent requests from the VMs that are named for it. */
  readonly state: "out" | "trial";
  /** Until trial requests begin. */
  readonly remainingMilliseconds: number;
  /** How often the target was ejected lately; each time doubles the duration. */
  readonly offences: number;
}

/** A target that a strategy may choose. */
export interface Candidate {
  readonly target: model.Target;
  /** Requests of this VM that run on the target. */
  readonly running: number;
  /** Requests that all other VMs run on the target, as last reported. */
  readonly peerLoad: number;
  /** Requests that the target runs at once for the whole fleet. */
  readonly slots: number;
  /** Recent latency in milliseconds; undefined before the first call. */
  readonly latencyMilliseconds: number | undefined;
  /** From 0 to 1: less while the target is cold, returns, or sheds load. */
  readonly readiness: number;
  /** Whether the target stands in this VM's data centre. */
  readonly near: boolean;
}

/** A way to choose among the targets that are in use and have a free slot. */
export interface ChoiceStrategy {
  /** Undefined only when there are no candidates. */
  choose(service: model.ServiceId, candidates: readonly Candidate[]): Candidate | undefined;
}

/** Asks a target itself whether it is well. */
export interface Probe {
  /** Whether the target answered well. Never rejects. */
  check(target: model.Target, signal: AbortSignal): Promise<boolean>;
}

/** Tells when the process last resumed after a pause. */
export interface PauseSource {
  readonly lastResumeMilliseconds: number;
  onResume(listener: (milliseconds: number) => void): void;
}

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
