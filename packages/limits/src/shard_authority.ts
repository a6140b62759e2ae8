/**
 * What one coordinator may spend of one shard, worked out from the votes it holds.
 *
 * A vote lends the voter's own share and, together with those of more than half of `vmLimit`, gives
 * the pooled part. The authority sums up share times elapsed time, exactly to each vote's expiry, so
 * that a bucket of any workspace can be brought up to date whenever it is touched next.
 */

import type * as model from "@hemlockwalk/model";
import * as safety from "./safety_margins.ts";

/** A moment at which the spendable share fell: levels above it were lost then. */
export interface CapacityDrop {
  /** Share (0 to 1) of the burst that was left. */
  readonly share: number;
  /** Share-seconds summed up until then. */
  readonly shareSeconds: number;
}

interface Vote {
  expiryMilliseconds: number;
  vmLimit: number;
}

const MAXIMUM_DROPS = 16;

/** The votes for one shard and what they allow. */
export class ShardAuthority {
  readonly #margins: safety.SafetyMargins;
  readonly #reservedShare: number;
  readonly #votes = new Map<model.VmId, Vote>();
  #vmLimit: number;
  #share = 0;
  #shareSeconds = 0;
  #updatedMilliseconds: number;
  #nextExpiryMilliseconds = Number.POSITIVE_INFINITY;
  #endMilliseconds = Number.NEGATIVE_INFINITY;
  #gainedShareSeconds = 0;
  #gains = 0;
  #drops: readonly CapacityDrop[] = [{ share: 0, shareSeconds: 0 }];

  constructor(
    vmLimit: number,
    reservedShare: number,
    margins: safety.SafetyMargins,
    nowMilliseconds: number,
  ) {
    this.#vmLimit = vmLimit;
    this.#reservedShare = reservedShare;
    this.#margins = margins;
    this.#updatedMilliseconds = nowMilliseconds;
  }

  /** Share (0 to 1) of rate and burst that may be spent now. */
  get share(): number {
    return this.#share;
  }

  /** Sum of share times seconds so far. */
  get shareSeconds(): number {
    return this.#shareSeconds;
  }

  /** Share-seconds when the pooled part was last gained. */
  get gainedShareSeconds(): number {
    return this.#gainedShareSeconds;
  }

  /** How often the pooled part was gained. */
  get gains(): number {
    return this.#gains;
  }

  /** When the share fell, oldest first. Never empty. */
  get drops(): readonly CapacityDrop[] {
    return this.#drops;
  }

  get voteCount(): number {
    return this.#votes.size;
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

  /** Takes over what an earlier coordinator knew of the workspaces that it did not list. */
  adoptDrops(drops: readonly CapacityDrop[]): void {
    const own = this.#drops.filter((drop) => drop.shareSeconds > this.#gainedShareSeconds);
    const adopted = drops.map((drop) => ({
      share: drop.share,
      shareSeconds: this.#gainedShareSeconds - drop.shareSeconds,
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
    this.#shareSeconds += this.#share * elapsed / 1_000 / (1 + this.#margins.clockDrift);
  }

  #refresh(): void {
    const earlier = this.#share;
    const hadMajority = earlier > this.#reservedShare + 1e-9;
    const limit = this.#getVmLimit();
    const lent = Math.min(1, this.#votes.size / limit) * this.#reservedShare;
    this.#share = lent + (this.hasMajority ? 1 - this.#reservedShare : 0);
    this.#endMilliseconds = Number.NEGATIVE_INFINITY;
    this.#nextExpiryMilliseconds = Number.POSITIVE_INFINITY;
    for (const vote of this.#votes.values()) {
      this.#nextExpiryMilliseconds = Math.min(
        this.#nextExpiryMilliseconds,
        vote.expiryMilliseconds,
      );
    }
    if (this.hasMajority && !hadMajority) {
      this.#gainedShareSeconds = this.#shareSeconds;
      this.#gains++;
    }
    if (this.#share < earlier) {
      this.#addDrop();
    }
  }

  #addDrop(): void {
    const drops = [...this.#drops, { share: this.#share, shareSeconds: this.#shareSeconds }];
    const [first, second, ...rest] = drops;
    if (drops.length <= MAXIMUM_DROPS || first === undefined || second === undefined) {
      this.#drops = drops;
      return;
    }
    // Two drops become one that is at least as strict as both.
    const share = Math.min(first.share, second.share);
    this.#drops = [{ share, shareSeconds: second.shareSeconds }, ...rest];
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
