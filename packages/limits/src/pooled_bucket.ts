/**
 * The tokens of one workspace at its coordinator.
 */

import type * as model from "@hemlockwalk/model";
import type * as safety from "./safety_margins.ts";
import type * as authorities from "./shard_authority.ts";

interface Outstanding {
  readonly tokens: number;
  readonly expiryMilliseconds: number;
}

/** Level and outstanding grants, which together never exceed the spendable share of the burst. */
export class PooledBucket {
  readonly #authority: authorities.ShardAuthority;
  readonly #outstanding = new Map<number, Outstanding>();
  #outstandingTokens = 0;
  #workspace: model.Workspace;
  #reservedShare: number;
  #level = 0;
  /** What the authority had summed up at the latest settlement; undefined before the first. */
  #settled: authorities.SpendableShares | undefined;
  touchedMilliseconds = 0;

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
      this.#settled = authority.shares;
    }
  }

  /** Tokens that may be granted or spent now. */
  getLevel(nowMilliseconds: number): number {
    this.settle(nowMilliseconds);
    return this.#level;
  }

  get outstandingTokens(): number {
    return this.#outstandingTokens;
  }

  /** Whether forgetting the bucket loses nothing: one that is created later starts at this level. */
  isIdle(nowMilliseconds: number): boolean {
    this.settle(nowMilliseconds);
    return this.#outstanding.size === 0 && this.#level >= this.#getCapacity() - 1e-9;
  }

  /** Changes rate, burst and reserved share; what is above the new burst is lost. */
  configure(workspace: model.Workspace, reservedShare: number, nowMilliseconds: number): void {
    if (workspace === this.#workspace && reservedShare === this.#reservedShare) {
      return;
    }
    this.settle(nowMilliseconds);
    this.#workspace = workspace;
    this.#reservedShare = reservedShare;
    this.#clamp();
  }

  /** Takes a token for a request of this VM. */
  tryTake(nowMilliseconds: number): boolean {
    this.settle(nowMilliseconds);
    if (this.#level < 1) {
      return false;
    }
    this.#level--;
    return true;
  }

  /** Turns tokens into a grant. */
  lend(
    grant: number,
    tokens: number,
    expiryMilliseconds: number,
  ): void {
    this.#level -= tokens;
    this.#outstandingTokens += tokens;
    this.#outstanding.set(grant, { tokens, expiryMilliseconds });
  }

  /** Takes tokens of a grant back. A late or repeated message finds no grant. */
  takeBack(grant: number, tokens: number, nowMilliseconds: number): boolean {
    this.settle(nowMilliseconds);
    const outstanding = this.#outstanding.get(grant);
    if (outstanding === undefined) {
      return false;
    }
    this.#removeOutstanding(grant, outstanding);
    this.#level += Math.min(tokens, outstanding.tokens);
    this.#clamp();
    return true;
  }

  /** Adds the level that an earlier coordinator left. */
  adopt(level: number, nowMilliseconds: number): void {
    this.settle(nowMilliseconds);
    const accrued = this.#getAccrued(this.#authority.gained, this.#authority.shares);
    this.#level += Math.max(0, Math.min(level, this.#getCapacity() - accrued));
    this.#clamp();
  }

  /** Milliseconds until a whole token will be there. */
  getWaitMilliseconds(nowMilliseconds: number): number {
    const missing = 1 - this.getLevel(nowMilliseconds);
    const rate = this.#workspace.rate * this.#weighShare(this.#authority.shares);
    return missing <= 0 ? 0 : missing * 1_000 / Math.max(rate, 1e-3);
  }

  /** Brings the level up to the given time. */
  settle(nowMilliseconds: number): void {
    this.#authority.advance(nowMilliseconds);
    const shares = this.#authority.shares;
    const settled = this.#settled;
    let level = settled === undefined
      ? Number.POSITIVE_INFINITY
      : this.#level + this.#getAccrued(settled, shares);
    for (const drop of this.#authority.drops) {
      if (settled === undefined || isSince(drop, settled)) {
        const left = this.#weighShare(drop) * this.#workspace.burst - this.#outstandingTokens;
        level = Math.min(level, left + this.#getAccrued(drop, shares));
      }
    }
    this.#level = level;
    this.#settled = shares;
    // Grants that ended meanwhile still bound the level until now: they may have been spent late.
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

  #removeOutstanding(grant: number, outstanding: Outstanding): void {
    this.#outstanding.delete(grant);
    this.#outstandingTokens -= outstanding.tokens;
  }

  #getCapacity(): number {
    return this.#weighShare(this.#authority.shares) * this.#workspace.burst;
  }

  /** Share (0 to 1) of this workspace's rate and burst. */
  #weighShare(shares: authorities.SpendableShares): number {
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

function isSince(
  drop: authorities.SpendableShares,
  settled: authorities.SpendableShares,
): boolean {
  return drop.pooledSeconds >= settled.pooledSeconds && drop.lentSeconds >= settled.lentSeconds;
}
