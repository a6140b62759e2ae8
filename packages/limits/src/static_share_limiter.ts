/**
 * A rate limiter with static shares: each VM may use 1/`vmLimit` of each workspace's rate and
 * burst.
 *
 * It is safe under any partition without messages between VMs, but it refuses requests within the
 * rate whenever traffic is not spread evenly over `vmLimit` VMs. It is the baseline for the other
 * limiters.
 */

import * as configuration from "@hemlockwalk/configuration";
import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as neverthrow from "neverthrow";
import * as buckets from "./token_bucket.ts";
import type * as types from "./types.ts";

interface Share {
  readonly bucket: buckets.TokenBucket;
  workspace: model.Workspace;
  vmLimit: number;
}

/** Admits requests from this VM's fixed part of each workspace's rate and burst. */
export class StaticShareLimiter implements types.RateLimiter {
  readonly #configuration: configuration.ConfigurationService;
  readonly #shares = new Map<model.WorkspaceId, Share>();
  readonly #startedMilliseconds = kernel.getMonotonicMilliseconds();

  constructor(configurationService: configuration.ConfigurationService) {
    this.#configuration = configurationService;
  }

  admit(workspace: model.Workspace, _deadlineMilliseconds: number): types.RateDecision {
    const now = kernel.getMonotonicMilliseconds();
    const { bucket } = this.#getShare(workspace, now);
    if (bucket.tryTake(1, now)) {
      return neverthrow.ok();
    }
    const retryAfterMilliseconds = bucket.getWaitMilliseconds(1, now);
    return neverthrow.err({ kind: "over_rate", retryAfterMilliseconds });
  }

  #getShare(workspace: model.Workspace, now: number): Share {
    const vmLimit = this.#configuration.getSnapshot()?.fleet.vmLimit ?? 1;
    const rate = workspace.rate / vmLimit;
    const burst = workspace.burst / vmLimit;
    let share = this.#shares.get(workspace.id);
    if (share === undefined) {
      // A predecessor that held the same share may just have spent it, so a new VM starts empty.
      const bucket = new buckets.TokenBucket(rate, burst, 0, this.#startedMilliseconds);
      share = { bucket, workspace, vmLimit };
      this.#shares.set(workspace.id, share);
    }
    if (share.workspace !== workspace || share.vmLimit !== vmLimit) {
      share.bucket.configure(rate, burst, now);
      share.workspace = workspace;
      share.vmLimit = vmLimit;
    }
    return share;
  }
}

/** Service name of the rate limiter. */
export const RATE_LIMITER = kernel.createServiceName<types.RateLimiter>("rate-limiter");
