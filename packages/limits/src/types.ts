/**
 * Interfaces through which the gateway requests admission under rate limits and slots of services.
 */

import type * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import type * as neverthrow from "neverthrow";
import type * as errors from "./errors.ts";

/** Whether a request is within its workspace's rate and burst. */
export type RateDecision = neverthrow.Result<void, errors.RateRefusal>;

/** Enforces each workspace's rate and burst over the whole fleet. */
export interface RateLimiter extends kernel.Service {
  /**
   * Takes one token of the workspace. The common path decides synchronously; otherwise the promise
   * settles before the deadline.
   *
   * @param deadlineMilliseconds Deadline on the monotonic clock.
   */
  admit(
    workspace: model.Workspace,
    deadlineMilliseconds: number,
  ): RateDecision | Promise<RateDecision>;
}

/** A request that waits for a free slot of its service. */
export interface QueueRequest<Lease> {
  readonly service: model.ServiceId;
  /** Undefined for open routes, which share one queue. */
  readonly workspace: model.WorkspaceId | undefined;
  /** Weight of the workspace times that of the route. */
  readonly weight: number;
  /** On the monotonic clock. */
  readonly deadlineMilliseconds: number;
  readonly signal: AbortSignal;
  /** Acquires a slot; returns undefined if none is free. */
  readonly tryAcquire: () => Lease | undefined;
}

/** Divides the slots of a service at capacity between workspaces. */
export interface FairQueue extends kernel.Service {
  /** Resolves with the lease of a slot, in fair order, or with a refusal. */
  enter<Lease>(
    request: QueueRequest<Lease>,
  ): Promise<neverthrow.Result<Lease, errors.QueueRefusal>>;
  /** Whether requests wait for a slot of a service. */
  hasWaiting(service: model.ServiceId): boolean;
  /** Must be called when slots of a service may have become free. */
  notifyCapacity(service: model.ServiceId): void;
}
