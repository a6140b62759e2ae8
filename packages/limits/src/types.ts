/**
 * Types through which the gateway asks whether a request may run now.
 */

import type * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import type * as neverthrow from "neverthrow";
import type * as errors from "./errors.ts";

/** Whether a request is within its workspace's rate and burst. */
export type RateDecision = neverthrow.Result<void, errors.RateRefusal>;

/** Decides on rates and bursts over the whole fleet. */
export interface RateLimiter extends kernel.Service {
  /**
   * Takes one token of the workspace. Decides at once on the common path; otherwise the promise
   * settles before the deadline.
   *
   * @param deadlineMilliseconds On the monotonic clock.
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
  /** Takes a slot; undefined while none is free. */
  readonly tryAcquire: () => Lease | undefined;
}

/** Shares the slots of a full service between workspaces. */
export interface FairQueue extends kernel.Service {
  /** Resolves with the lease of a slot, in fair order, or with a refusal. */
  enter<Lease>(
    request: QueueRequest<Lease>,
  ): Promise<neverthrow.Result<Lease, errors.QueueRefusal>>;
  /** Tells that slots of a service may have become free. */
  notifyCapacity(service: model.ServiceId): void;
}
