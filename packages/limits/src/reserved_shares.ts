/**
 * The part of every rate and burst that this VM holds by right. It is spent here only while it is
 * not lent to a coordinator, which in calm it always is.
 */

import type * as model from "@hemlockwalk/model";
import type * as safety from "./safety_margins.ts";

interface Reserved {
  level: number;
  updatedMilliseconds: number;
}

const FORGET_MILLISECONDS = 60_000;

/** Buckets of this VM's own shares, created when they are first needed. */
export class ReservedShares {
  readonly #margins: safety.SafetyMargins;
  readonly #reservedShare: number;
  readonly #buckets = new Map<model.WorkspaceId, Reserved>();

  constructor(reservedShare: number, margins: safety.SafetyMargins) {
    this.#reservedShare = reservedShare;
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
    const capacity = workspace.burst * this.#reservedShare / vmLimit;
    if (nowMilliseconds < ownSinceMilliseconds || capacity < 1) {
      return false;
    }
    const bucket = this.#getBucket(workspace.id, ownSinceMilliseconds);
    const from = Math.max(bucket.updatedMilliseconds, ownSinceMilliseconds);
    if (bucket.updatedMilliseconds < ownSinceMilliseconds) {
      bucket.level = 0;
    }
    const rate = workspace.rate * this.#reservedShare / vmLimit;
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

  #getBucket(workspace: model.WorkspaceId, ownSinceMilliseconds: number): Reserved {
    let bucket = this.#buckets.get(workspace);
    if (bucket === undefined) {
      bucket = { level: 0, updatedMilliseconds: ownSinceMilliseconds };
      this.#buckets.set(workspace, bucket);
    }
    return bucket;
  }
}
