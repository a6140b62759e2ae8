/**
 * The token bucket of one workspace at its coordinator.
 */

import type * as model from "@hemlockwalk/model";
import type * as safety from "./safety_margins.ts";
import type * as authorities from "./shard_authority.ts";

interface OutstandingGrant {
  readonly tokens: number;
  readonly expiryMilliseconds: number;
}

/**
 * Tracks the level and the outstanding grants, which together never exceed the spendable share of
 * the burst.
 */
export class PooledBucket {
  readonly #authority: authorities.ShardAuthority;
  readonly #outstanding = new Map<number, OutstandingGrant>();
  #outstandingTokens = 0;
  #workspace: model.Workspace;
  #reservedShare: number;
  #level = 0;
  /** The authority's shares at the latest update; undefined before the first. */
  #lastShares: authorities.SpendableShares | undefined;
  lastUsedMilliseconds = 0;

  constructor(
    workspace: model.Workspace,
    reservedShare: number,
    authority: authorities.ShardAuthority,
    margins: safety.SafetyMargins,
  ) {
    this.#workspace = workspace;
    this.#reservedShare = reservedShare;
    this.#authority = authority;
    if (!margins.emptyStart) {
      this.#level = workspace.burst;
      this.#lastShares = authority.shares;
    }
  }

  /** Tokens that may be granted or spent now. */
  getLevel(nowMilliseconds: number): number {
    this.advance(nowMilliseconds);
    return this.#level;
  }

  get outstandingTokens(): number {
    return this.#outstandingTokens;
  }

  /** Whether the bucket can be removed without loss: one created later starts at the same level. */
  isIdle(nowMilliseconds: number): boolean {
    this.advance(nowMilliseconds);
    return this.#outstanding.size === 0 && this.#level >= this.#getCapacity() - 1e-9;
  }

  /** Changes rate, burst and reserved share. Tokens above the new burst are discarded. */
  configure(workspace: model.Workspace, reservedShare: number, nowMilliseconds: number): void {
    if (workspace === this.#workspace && reservedShare === this.#reservedShare) {
      return;
    }
    this.advance(nowMilliseconds);
    this.#workspace = workspace;
    this.#reservedShare = reservedShare;
    this.#clamp();
  }

  /** Takes a token for a request of this VM. */
  tryTake(nowMilliseconds: number): boolean {
    this.advance(nowMilliseconds);
    if (this.#level < 1) {
      return false;
    }
    this.#level--;
    return true;
  }

  /** Deducts tokens and records them as an outstanding grant. */
  addGrant(
    grant: number,
    tokens: number,
    expiryMilliseconds: number,
  ): void {
    this.#level -= tokens;
    this.#outstandingTokens += tokens;
    this.#outstanding.set(grant, { tokens, expiryMilliseconds });
  }

  /**
   * Ends a grant and adds its unused tokens to the level. Returns false if the grant is not
   * outstanding, because the message was late or repeated.
   */
  endGrant(grant: number, tokens: number, nowMilliseconds: number): boolean {
    this.advance(nowMilliseconds);
    const outstanding = this.#outstanding.get(grant);
    if (outstanding === undefined) {
      return false;
    }
    this.#removeOutstanding(grant, outstanding);
    this.#level += Math.min(tokens, outstanding.tokens);
    this.#clamp();
    return true;
  }

  /** Adds the level that an earlier coordinator handed over. */
  adopt(level: number, nowMilliseconds: number): void {
    this.advance(nowMilliseconds);
    const accrued = this.#getAccrued(this.#authority.sharesAtLastGain, this.#authority.shares);
    this.#level += Math.max(0, Math.min(level, this.#getCapacity() - accrued));
    this.#clamp();
  }

  /** Milliseconds until a whole token is available. */
  getWaitMilliseconds(nowMilliseconds: number): number {
    const missing = 1 - this.getLevel(nowMilliseconds);
    const rate = this.#workspace.rate * this.#getShare(this.#authority.shares);
    return missing <= 0 ? 0 : missing * 1_000 / Math.max(rate, 1e-3);
  }

  /** Updates the level to the given time. */
  advance(nowMilliseconds: number): void {
    this.#authority.advance(nowMilliseconds);
    const shares = this.#authority.shares;
    const lastShares = this.#lastShares;
    let level = lastShares === undefined
      ? Number.POSITIVE_INFINITY
      : this.#level + this.#getAccrued(lastShares, shares);
    for (const drop of this.#authority.drops) {
      if (lastShares === undefined || isNotBefore(drop, lastShares)) {
        const left = this.#getShare(drop) * this.#workspace.burst - this.#outstandingTokens;
        level = Math.min(level, left + this.#getAccrued(drop, shares));
      }
    }
    this.#level = level;
    this.#lastShares = shares;
    // Grants that have expired since the last update still bound the level up to now: they may have
    // been spent just before they expired.
    this.#clamp();
    this.#expire(nowMilliseconds);
  }

  #expire(nowMilliseconds: number): void {
    for (const [grant, outstanding] of this.#outstanding) {
      if (outstanding.expiryMilliseconds <= nowMilliseconds) {
        this.#removeOutstanding(grant, outstanding);
      }
    }
  }

  #removeOutstanding(grant: number, outstanding: OutstandingGrant): void {
    this.#outstanding.delete(grant);
    this.#outstandingTokens -= outstanding.tokens;
  }

  #getCapacity(): number {
    return this.#getShare(this.#authority.shares) * this.#workspace.burst;
  }

  /** Share (0 to 1) of this workspace's rate and burst that the given shares allow. */
  #getShare(shares: authorities.SpendableShares): number {
    return (1 - this.#reservedShare) * shares.pooled + this.#reservedShare * shares.lent;
  }

  #getAccrued(
    from: authorities.SpendableShares,
    until: authorities.SpendableShares,
  ): number {
    const pooled = until.pooledSeconds - from.pooledSeconds;
    const lent = until.lentSeconds - from.lentSeconds;
    return this.#workspace.rate *
      ((1 - this.#reservedShare) * pooled + this.#reservedShare * lent);
  }

  #clamp(): void {
    const room = this.#getCapacity() - this.#outstandingTokens;
    this.#level = Math.max(0, Math.min(this.#level, room));
  }
}

function isNotBefore(
  drop: authorities.SpendableShares,
  lastShares: authorities.SpendableShares,
): boolean {
  return drop.pooledSeconds >= lastShares.pooledSeconds &&
    drop.lentSeconds >= lastShares.lentSeconds;
}
