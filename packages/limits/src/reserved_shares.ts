/**
 * This VM's own share of the reserved part of every rate and burst. The VM spends the share only
 * while it is not leased to a coordinator by a vote; in normal operation it is always leased.
 */

import type * as model from "@hemlockwalk/model";
import type * as policies from "./reserved_policy.ts";
import type * as safety from "./safety_margins.ts";

interface ReservedBucket {
  level: number;
  updatedMilliseconds: number;
}

const BUCKET_RETENTION_MILLISECONDS = 60_000;

/** Buckets of this VM's own shares, created on first use. */
export class ReservedShares {
  readonly #margins: safety.SafetyMargins;
  readonly #recentConfigurations: policies.RecentConfigurations;
  readonly #buckets = new Map<model.WorkspaceId, ReservedBucket>();

  constructor(recentConfigurations: policies.RecentConfigurations, margins: safety.SafetyMargins) {
    this.#recentConfigurations = recentConfigurations;
    this.#margins = margins;
  }

  get size(): number {
    return this.#buckets.size;
  }

  /**
   * Takes a token of this VM's own share.
   *
   * @param availableSinceMilliseconds Time since which the share is not leased; it accrues from
   * empty from then on.
   */
  tryTake(
    workspace: model.Workspace,
    vmLimit: number,
    availableSinceMilliseconds: number,
    nowMilliseconds: number,
  ): boolean {
    const reservedShare = this.#recentConfigurations.getShare(workspace, nowMilliseconds);
    const capacity = workspace.burst * reservedShare / vmLimit;
    if (nowMilliseconds < availableSinceMilliseconds || capacity < 1) {
      return false;
    }
    // Other VMs may still act on an earlier declaration that reserved less.
    if (!this.#recentConfigurations.isSettled(workspace, nowMilliseconds)) {
      this.#buckets.set(workspace.id, { level: 0, updatedMilliseconds: nowMilliseconds });
      return false;
    }
    const bucket = this.#getBucket(workspace.id, availableSinceMilliseconds, nowMilliseconds);
    const from = Math.max(bucket.updatedMilliseconds, availableSinceMilliseconds);
    if (bucket.updatedMilliseconds < availableSinceMilliseconds) {
      bucket.level = 0;
    }
    const rate = workspace.rate * reservedShare / vmLimit;
    const seconds = Math.max(0, nowMilliseconds - from) / 1_000 / (1 + this.#margins.clockDrift);
    bucket.level = Math.min(capacity, bucket.level + rate * seconds);
    bucket.updatedMilliseconds = nowMilliseconds;
    if (bucket.level < 1) {
      return false;
    }
    bucket.level--;
    return true;
  }

  /**
   * Removes buckets that have not been used for a long time and whose share has been leased since.
   */
  sweep(
    nowMilliseconds: number,
    getAvailableSince: (workspace: model.WorkspaceId) => number,
  ): void {
    for (const [workspace, bucket] of this.#buckets) {
      const wasLeased = getAvailableSince(workspace) > bucket.updatedMilliseconds;
      if (
        wasLeased && nowMilliseconds - bucket.updatedMilliseconds > BUCKET_RETENTION_MILLISECONDS
      ) {
        this.#buckets.delete(workspace);
      }
    }
  }

  #getBucket(
    workspace: model.WorkspaceId,
    availableSinceMilliseconds: number,
    nowMilliseconds: number,
  ): ReservedBucket {
    let bucket = this.#buckets.get(workspace);
    if (bucket === undefined) {
      // The latest release note may have declared the workspace, so nothing before it counts.
      const declared = Math.min(this.#recentConfigurations.settledMilliseconds, nowMilliseconds);
      const updatedMilliseconds = Math.max(availableSinceMilliseconds, declared);
      bucket = { level: 0, updatedMilliseconds };
      this.#buckets.set(workspace, bucket);
    }
    return bucket;
  }
}
