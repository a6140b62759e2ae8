/**
 * What one coordinator may spend of one shard, worked out from the votes it holds.
 *
 * A vote lends the voter's own share and, together with those of more than half of `vmLimit`, gives
 * the pooled part. The authority sums up share times elapsed time, exactly to each vote's expiry, so
 * that a bucket of any workspace can be brought up to date whenever it is touched next.
 */

import type * as model from "@hemlockwalk/model";
import * as safety from "./safety_margins.ts";

/** What the votes allow of the two parts, and for how long they have done so. */
export interface SpendableShares {
  /** 1 with the votes of a majority, else 0: the part that is pooled. */
  readonly pooled: number;
  /** Share (0 to 1) of the reserved part that is lent. */
  readonly lent: number;
  /** Seconds for which the pooled part was held. */
  readonly pooledSeconds: number;
  /** Sum of the lent share times seconds. */
  readonly lentSeconds: number;
}

interface Vote {
  expiryMilliseconds: number;
  vmLimit: number;
}

const MAXIMUM_DROPS = 16;

const EMPTY: SpendableShares = { pooled: 0, lent: 0, pooledSeconds: 0, lentSeconds: 0 };

/** The votes for one shard and what they allow. */
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
  #endMilliseconds = Number.NEGATIVE_INFINITY;
  #gained: SpendableShares = EMPTY;
  #gains = 0;
  #drops: readonly SpendableShares[] = [EMPTY];

  constructor(
    vmLimit: number,
    margins: safety.SafetyMargins,
    nowMilliseconds: number,
  ) {
    this.#vmLimit = vmLimit;
    this.#margins = margins;
    this.#updatedMilliseconds = nowMilliseconds;
  }

  /** What may be spent now. */
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
  get gained(): SpendableShares {
    return this.#gained;
  }

  /** How often the pooled part was gained. */
  get gains(): number {
    return this.#gains;
  }

  /** Moments at which a share fell, oldest first: levels above it were lost. Never empty. */
  get drops(): readonly SpendableShares[] {
    return this.#drops;
  }

  /** Whether the pooled part is included. */
  get hasMajority(): boolean {
    return this.#votes.size >= this.#getQuorum();
  }

  /** Brings the sum up to the given time, through all expiries in their order. */
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

  /** Takes note of a changed `vmLimit`. */
  configure(vmLimit: number, nowMilliseconds: number): void {
    if (vmLimit === this.#vmLimit) {
      return;
    }
    this.advance(nowMilliseconds);
    this.#vmLimit = vmLimit;
    this.#refresh();
  }

  /** Gives all votes up. */
  release(nowMilliseconds: number): void {
    this.advance(nowMilliseconds);
    this.#votes.clear();
    this.#refresh();
  }

  /** When the pooled part ends unless votes are renewed; the past when there is no majority. */
  getEndMilliseconds(nowMilliseconds: number): number {
    if (!this.hasMajority) {
      return Number.NEGATIVE_INFINITY;
    }
    // Votes are only ever renewed to later times, so an earlier result that is far off still holds.
    if (this.#endMilliseconds < nowMilliseconds + safety.GRANT_LIFETIME_MILLISECONDS) {
      const expiries = [...this.#votes.values()].map((vote) => vote.expiryMilliseconds);
      expiries.sort((left, right) => right - left);
      this.#endMilliseconds = expiries[this.#getQuorum() - 1] ?? Number.NEGATIVE_INFINITY;
    }
    return this.#endMilliseconds;
  }

  /** The drops by how long ago they were, for the next coordinator. */
  listDropsBefore(): SpendableShares[] {
    return this.#drops.map((drop) => ({
      ...drop,
      pooledSeconds: this.#pooledSeconds - drop.pooledSeconds,
      lentSeconds: this.#lentSeconds - drop.lentSeconds,
    }));
  }

  /** Takes over what an earlier coordinator knew of the workspaces that it did not list. */
  adoptDrops(dropsBefore: readonly SpendableShares[]): void {
    const gained = this.#gained;
    const own = this.#drops.filter((drop) =>
      drop.pooledSeconds > gained.pooledSeconds || drop.lentSeconds > gained.lentSeconds
    );
    const adopted = dropsBefore.map((drop) => ({
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
    this.#endMilliseconds = Number.NEGATIVE_INFINITY;
    this.#nextExpiryMilliseconds = Number.POSITIVE_INFINITY;
    for (const vote of this.#votes.values()) {
      this.#nextExpiryMilliseconds = Math.min(
        this.#nextExpiryMilliseconds,
        vote.expiryMilliseconds,
      );
    }
    if (this.#pooled > earlier.pooled) {
      this.#gained = this.shares;
      this.#gains++;
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
    // Two drops become one that is at least as strict as both.
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
    // While a note changes the limit, VMs differ; the larger one counts.
    let limit = this.#vmLimit;
    for (const vote of this.#votes.values()) {
      limit = Math.max(limit, vote.vmLimit);
    }
    return limit;
  }
}
