/**
 * Computes what one coordinator may spend of one shard from the votes that it holds.
 *
 * A vote leases the voter's own share to the coordinator. The votes of more than half of `vmLimit`
 * VMs also give it the pooled part. The authority integrates these shares over time, exactly up to
 * each vote's expiry, so that the bucket of a workspace can be updated whenever it is next used.
 */

import type * as model from "@hemlockwalk/model";
import * as safety from "./safety_margins.ts";

/**
 * The shares of the pooled and the reserved part that the votes allow, and their integrals over
 * time.
 */
export interface SpendableShares {
  /** Share of the pooled part: 1 with the votes of a majority, otherwise 0. */
  readonly pooled: number;
  /** Share (0 to 1) of the reserved part that the voters have leased to the coordinator. */
  readonly lent: number;
  /** Seconds for which the coordinator held the pooled part. */
  readonly pooledSeconds: number;
  /** Integral of the leased share over time, in seconds. */
  readonly lentSeconds: number;
}

interface Vote {
  expiryMilliseconds: number;
  vmLimit: number;
}

const MAXIMUM_DROPS = 16;

const NO_SHARES: SpendableShares = { pooled: 0, lent: 0, pooledSeconds: 0, lentSeconds: 0 };

/** The votes for one shard and the shares that they allow. */
export class ShardAuthority {
  readonly #margins: safety.SafetyMargins;
  readonly #votes = new Map<model.VmId, Vote>();
  #vmLimit: number;
  #pooled = 0;
  #lent = 0;
  #pooledSeconds = 0;
  #lentSeconds = 0;
  #updatedMilliseconds: number;
  #nextExpiryMilliseconds = Number.POSITIVE_INFINITY;
  #majorityEndMilliseconds = Number.NEGATIVE_INFINITY;
  #sharesAtLastGain: SpendableShares = NO_SHARES;
  #gainCount = 0;
  #drops: readonly SpendableShares[] = [NO_SHARES];

  constructor(
    vmLimit: number,
    margins: safety.SafetyMargins,
    nowMilliseconds: number,
  ) {
    this.#vmLimit = vmLimit;
    this.#margins = margins;
    this.#updatedMilliseconds = nowMilliseconds;
  }

  /** The shares that may be spent now. */
  get shares(): SpendableShares {
    return {
      pooled: this.#pooled,
      lent: this.#lent,
      pooledSeconds: this.#pooledSeconds,
      lentSeconds: this.#lentSeconds,
    };
  }

  /** Whether no vote is held. */
  get isEmpty(): boolean {
    return this.#votes.size === 0;
  }

  /** The shares when the pooled part was last gained. */
  get sharesAtLastGain(): SpendableShares {
    return this.#sharesAtLastGain;
  }

  /** Number of times that the pooled part was gained. */
  get gainCount(): number {
    return this.#gainCount;
  }

  /**
   * Decreases of a share, oldest first: levels above the lower share were discarded. Never empty.
   */
  get drops(): readonly SpendableShares[] {
    return this.#drops;
  }

  /** Whether the votes form a majority, which gives the pooled part. */
  get hasMajority(): boolean {
    return this.#votes.size >= this.#getQuorum();
  }

  /** Updates the integrals to the given time, through all expiries in their order. */
  advance(nowMilliseconds: number): void {
    while (this.#nextExpiryMilliseconds <= nowMilliseconds) {
      const expiry = this.#nextExpiryMilliseconds;
      this.#accrue(expiry);
      for (const [vm, vote] of this.#votes) {
        if (vote.expiryMilliseconds <= expiry) {
          this.#votes.delete(vm);
        }
      }
      this.#refresh();
    }
    this.#accrue(nowMilliseconds);
  }

  /** Adds or renews the vote of a VM. */
  addVote(
    vm: model.VmId,
    expiryMilliseconds: number,
    vmLimit: number,
    nowMilliseconds: number,
  ): void {
    this.advance(nowMilliseconds);
    const vote = this.#votes.get(vm);
    if (expiryMilliseconds <= nowMilliseconds) {
      return;
    }
    if (vote !== undefined && vote.vmLimit === vmLimit) {
      vote.expiryMilliseconds = Math.max(vote.expiryMilliseconds, expiryMilliseconds);
      return;
    }
    this.#votes.set(vm, { expiryMilliseconds, vmLimit });
    this.#refresh();
  }

  /** Applies a changed `vmLimit`. */
  configure(vmLimit: number, nowMilliseconds: number): void {
    if (vmLimit === this.#vmLimit) {
      return;
    }
    this.advance(nowMilliseconds);
    this.#vmLimit = vmLimit;
    this.#refresh();
  }

  /** Drops all votes. */
  release(nowMilliseconds: number): void {
    this.advance(nowMilliseconds);
    this.#votes.clear();
    this.#refresh();
  }

  /** When the majority ends unless votes are renewed; minus infinity when there is none. */
  getMajorityEndMilliseconds(nowMilliseconds: number): number {
    if (!this.hasMajority) {
      return Number.NEGATIVE_INFINITY;
    }
    // Renewals only extend votes, so a cached result that is far enough ahead is still valid.
    if (this.#majorityEndMilliseconds < nowMilliseconds + safety.GRANT_LIFETIME_MILLISECONDS) {
      const expiries = [...this.#votes.values()].map((vote) => vote.expiryMilliseconds);
      expiries.sort((left, right) => right - left);
      this.#majorityEndMilliseconds = expiries[this.#getQuorum() - 1] ?? Number.NEGATIVE_INFINITY;
    }
    return this.#majorityEndMilliseconds;
  }

  /** The drops for the next coordinator, with the share-seconds that have accrued since each. */
  listRelativeDrops(): SpendableShares[] {
    return this.#drops.map((drop) => ({
      ...drop,
      pooledSeconds: this.#pooledSeconds - drop.pooledSeconds,
      lentSeconds: this.#lentSeconds - drop.lentSeconds,
    }));
  }

  /**
   * Adopts the drops of an earlier coordinator, which bound the levels of the workspaces that it
   * did not list.
   */
  adoptDrops(relativeDrops: readonly SpendableShares[]): void {
    const gained = this.#sharesAtLastGain;
    const own = this.#drops.filter((drop) =>
      drop.pooledSeconds > gained.pooledSeconds || drop.lentSeconds > gained.lentSeconds
    );
    const adopted = relativeDrops.map((drop) => ({
      ...drop,
      pooledSeconds: gained.pooledSeconds - drop.pooledSeconds,
      lentSeconds: gained.lentSeconds - drop.lentSeconds,
    }));
    this.#drops = [...adopted, ...own];
  }

  #accrue(untilMilliseconds: number): void {
    const elapsed = untilMilliseconds - this.#updatedMilliseconds;
    if (elapsed <= 0) {
      return;
    }
    this.#updatedMilliseconds = untilMilliseconds;
    // A fast clock must not accrue more than real time allows.
    const seconds = elapsed / 1_000 / (1 + this.#margins.clockDrift);
    this.#pooledSeconds += this.#pooled * seconds;
    this.#lentSeconds += this.#lent * seconds;
  }

  #refresh(): void {
    const earlier = this.shares;
    this.#lent = Math.min(1, this.#votes.size / this.#getVmLimit());
    this.#pooled = this.hasMajority ? 1 : 0;
    this.#majorityEndMilliseconds = Number.NEGATIVE_INFINITY;
    this.#nextExpiryMilliseconds = Number.POSITIVE_INFINITY;
    for (const vote of this.#votes.values()) {
      this.#nextExpiryMilliseconds = Math.min(
        this.#nextExpiryMilliseconds,
        vote.expiryMilliseconds,
      );
    }
    if (this.#pooled > earlier.pooled) {
      this.#sharesAtLastGain = this.shares;
      this.#gainCount++;
    }
    if (this.#pooled < earlier.pooled || this.#lent < earlier.lent) {
      this.#addDrop();
    }
  }

  #addDrop(): void {
    const drops = [...this.#drops, this.shares];
    const [first, second, ...rest] = drops;
    if (drops.length <= MAXIMUM_DROPS || first === undefined || second === undefined) {
      this.#drops = drops;
      return;
    }
    // Merges the two oldest drops into one that is at least as strict as both.
    const merged = {
      ...second,
      pooled: Math.min(first.pooled, second.pooled),
      lent: Math.min(first.lent, second.lent),
    };
    this.#drops = [merged, ...rest];
  }

  #getQuorum(): number {
    return this.#margins.quorum ? Math.floor(this.#getVmLimit() / 2) + 1 : 1;
  }

  #getVmLimit(): number {
    // While VMs apply a release note that changes the limit, their limits differ; the largest one
    // counts.
    let limit = this.#vmLimit;
    for (const vote of this.#votes.values()) {
      limit = Math.max(limit, vote.vmLimit);
    }
    return limit;
  }
}
