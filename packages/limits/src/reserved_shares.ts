/**
 * The part of every rate and burst that this VM holds by right. It is spent here only while it is
 * not lent to a coordinator, which in calm it always is.
 */

import type * as model from "@hemlockwalk/model";
import type * as policies from "./reserved_policy.ts";
import type * as safety from "./safety_margins.ts";

interface Reserved {
  level: number;
  updatedMilliseconds: number;
}

const FORGET_MILLISECONDS = 60_000;

/** Buckets of this VM's own shares, created when they are first needed. */
export class ReservedShares {
  readonly #margins: safety.SafetyMargins;
  readonly #recent: policies.RecentConfigurations;
  readonly #buckets = new Map<model.WorkspaceId, Reserved>();

  constructor(recent: policies.RecentConfigurations, margins: safety.SafetyMargins) {
    this.#recent = recent;
    this.#margins = margins;
  }

  get size(): number {
    return this.#buckets.size;
  }

  /**
   * Takes a token of this VM's own share.
   *
   * @param ownSinceMilliseconds Since when the share is not lent; it accrues from empty then.
   */
  tryTake(
    workspace: model.Workspace,
    vmLimit: number,
    ownSinceMilliseconds: number,
    nowMilliseconds: number,
  ): boolean {
    const reservedShare = this.#recent.getShare(workspace, nowMilliseconds);
    const capacity = workspace.burst * reservedShare / vmLimit;
    if (nowMilliseconds < ownSinceMilliseconds || capacity < 1) {
      return false;
    }
    // Others may still go by an earlier declaration, by which less was reserved.
    if (!this.#recent.isSettled(workspace, nowMilliseconds)) {
      this.#buckets.set(workspace.id, { level: 0, updatedMilliseconds: nowMilliseconds });
      return false;
    }
    const bucket = this.#getBucket(workspace.id, ownSinceMilliseconds, nowMilliseconds);
    const from = Math.max(bucket.updatedMilliseconds, ownSinceMilliseconds);
    if (bucket.updatedMilliseconds < ownSinceMilliseconds) {
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

  /** Forgets buckets that were not used for so long that their share was lent again or is full. */
  sweep(nowMilliseconds: number, ownSince: (workspace: model.WorkspaceId) => number): void {
    for (const [workspace, bucket] of this.#buckets) {
      const lentSince = ownSince(workspace) > bucket.updatedMilliseconds;
      if (lentSince && nowMilliseconds - bucket.updatedMilliseconds > FORGET_MILLISECONDS) {
        this.#buckets.delete(workspace);
      }
    }
  }

  #getBucket(
    workspace: model.WorkspaceId,
    ownSinceMilliseconds: number,
    nowMilliseconds: number,
  ): Reserved {
    let bucket = this.#buckets.get(workspace);
    if (bucket === undefined) {
      // The latest note may have declared the workspace anew, so nothing earlier counts.
      const declared = Math.min(this.#recent.settledMilliseconds, nowMilliseconds);
      const updatedMilliseconds = Math.max(ownSinceMilliseconds, declared);
      bucket = { level: 0, updatedMilliseconds };
      this.#buckets.set(workspace, bucket);
    }
    return bucket;
  }
}
