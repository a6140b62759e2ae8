/**
 * A token bucket that all VMs draw on, without anybody who holds it.
 *
 * Load that this answers: a workspace far beyond its rate, spread unevenly over all VMs, and retries
 * of all VMs against one budget. Each VM tells the others how many tokens it has taken and how many
 * were asked of it, as counters that only rise. While the level is ample, tokens are taken at once;
 * once it is low, each VM keeps to its share of the refill, by demand, so that what the others take
 * unseen cannot add up. VMs that have lately been known but are not heard keep their share.
 */

import * as kernel from "@hemlockwalk/kernel";

/** Assumed until the first refill. */
const FIRST_NEWS_MILLISECONDS = 300;

/** A VM that has taken this share of the burst unheard should tell the others at once. */
const UNHEARD_SHARE_OF_BURST = 0.1;

/** Below this share of the burst, what is taken unheard matters. */
const AMPLE_SHARE_OF_BURST = 0.8;

/** By so much of the burst, and so many tokens, shares may be taken from a level below zero. */
const SHARE_DEBT_OF_BURST = 0.25;
const SHARE_DEBT_TOKENS = 2;

/** Time over which demand is averaged. */
const DEMAND_WINDOW_MILLISECONDS = 2_000;

/** Tokens that a VM may save up from its share. */
const SHARE_BURST = 1.5;

/** The level may fall so many bursts below zero; older debts are forgotten. */
const MAX_DEBT_IN_BURSTS = 2;

/** Counters after so long a silence tell what a VM took while it was not heard. */
const RETURN_AFTER_MILLISECONDS = 2_000;

/**
 * Once all VMs are heard again, what nobody claims is given up at this share of the rate. VMs with
 * few requests tell seconds later what they have taken.
 */
const WITHHELD_DRAIN = 0.25;

/** What one VM has taken and was asked for since it started. */
export interface BucketCounters {
  readonly taken: number;
  readonly asked: number;
}

/** Presence of the fleet as one VM sees it. */
export interface FleetPresence {
  /** VMs heard at present, this one included. */
  readonly present: number;
  /** The most VMs known lately; at least `present`. */
  readonly expected: number;
  /** Time within which this VM hears what others have taken, in milliseconds. */
  readonly newsMilliseconds: number;
}

interface OtherVm {
  incarnation: string;
  taken: number;
  asked: number;
  /** Monotonic time of its latest counters, in milliseconds. */
  heardAt: number;
}

/** One VM's view of a bucket. */
export class SharedBucket {
  #burst: number;
  #allowance: number;
  #level: number;
  #taken = 0;
  #asked = 0;
  #reported = 0;
  #takenReported = 0;
  readonly #others = new Map<string, OtherVm>();
  #shareLevel = 0;
  #newsMilliseconds = FIRST_NEWS_MILLISECONDS;
  /** What has accrued for VMs that were not heard; it pays for what they turn out to have taken. */
  #withheld = 0;
  #ownDemand = 0;
  #fleetDemand = 0;
  #decayedAt = kernel.getMonotonicMilliseconds();

  /**
   * @param level Tokens at the start. A VM that replaces another starts without any.
   * @param allowance How far below zero the level may be taken: the excess that is tolerated.
   */
  constructor(burst: number, level: number, allowance = 0) {
    this.#burst = burst;
    this.#allowance = allowance;
    this.#level = Math.min(level, burst);
  }

  /** Tokens left, as far as known here. Negative after more was taken than there was. */
  get level(): number {
    return this.#level;
  }

  /** Tokens saved up from this VM's share, for times when the level is low. */
  get shareLevel(): number {
    return this.#shareLevel;
  }

  setLimits(burst: number, allowance: number): void {
    this.#burst = burst;
    this.#allowance = allowance;
    this.#level = Math.min(this.#level, burst);
  }

  /** Takes the level from a VM that has followed the bucket for longer. */
  adoptLevel(level: number): void {
    this.#level = Math.min(level, this.#burst);
  }

  /** Adds what has accrued for the whole fleet since the last call. */
  refill(tokens: number, presence: FleetPresence): void {
    this.#newsMilliseconds = presence.newsMilliseconds;
    const heard = tokens * presence.present / Math.max(presence.expected, 1);
    this.#level = Math.min(this.#burst, this.#level + heard);
    this.#withheld = presence.present < presence.expected
      ? this.#withheld + tokens - heard
      : Math.max(0, this.#withheld - tokens * WITHHELD_DRAIN);
    const share = this.#fleetDemand > 0
      ? Math.min(1, this.#ownDemand / this.#fleetDemand)
      : 1 / Math.max(presence.expected, 1);
    this.#shareLevel = Math.min(SHARE_BURST, this.#shareLevel + heard * share);
  }

  /** Takes a token if there is one for this VM. */
  take(): boolean {
    this.#asked++;
    this.#addDemand(1, 1);
    const othersDemand = Math.max(0, this.#fleetDemand - this.#ownDemand);
    const unseen = othersDemand * this.#newsMilliseconds / DEMAND_WINDOW_MILLISECONDS;
    if (this.#level + this.#allowance >= 1 + Math.min(unseen, this.#burst)) {
      this.#spend();
      return true;
    }
    const lowest = -this.#burst * SHARE_DEBT_OF_BURST - SHARE_DEBT_TOKENS - this.#allowance;
    if (this.#shareLevel < 1 || this.#level < lowest) {
      return false;
    }
    this.#shareLevel -= 1;
    this.#spend();
    return true;
  }

  /** Gives back a token that was taken for nothing. */
  giveBack(): void {
    this.#level = Math.min(this.#burst, this.#level + 1);
    this.#taken--;
  }

  /** Whether the others should hear of this VM's tokens before the next tick. */
  get isUrgent(): boolean {
    return this.#level < this.#burst * AMPLE_SHARE_OF_BURST &&
      this.#taken - this.#takenReported >= Math.max(2, this.#burst * UNHEARD_SHARE_OF_BURST);
  }

  /** This VM's counters if they have changed since the last collection. */
  collect(): BucketCounters | undefined {
    if (this.#asked === this.#reported) {
      return undefined;
    }
    this.#reported = this.#asked;
    this.#takenReported = this.#taken;
    return { taken: this.#taken, asked: this.#asked };
  }

  /**
   * Takes the counters of another VM.
   *
   * @param followed Share of that VM's life, from 0 to 1, that this VM has followed the bucket. What
   *   was taken before is part of the level that this VM began with.
   */
  receive(vm: string, incarnation: string, counters: BucketCounters, followed: number): void {
    const known = this.#others.get(vm);
    const isSameLife = known?.incarnation === incarnation;
    if (isSameLife && counters.asked < known.asked) {
      return;
    }
    const taken = isSameLife ? counters.taken - known.taken : counters.taken * followed;
    const asked = isSameLife ? counters.asked - known.asked : counters.asked * followed;
    const now = kernel.getMonotonicMilliseconds();
    const isReturning = isSameLife && now - known.heardAt > RETURN_AFTER_MILLISECONDS;
    const paid = isReturning ? Math.min(Math.max(taken, 0), this.#withheld) : 0;
    this.#withheld -= paid;
    this.#others.set(vm, { incarnation, ...counters, heardAt: now });
    this.#level = Math.max(
      this.#level - taken + paid,
      -MAX_DEBT_IN_BURSTS * this.#burst - this.#allowance,
    );
    this.#addDemand(0, Math.max(asked, 0));
  }

  #spend(): void {
    this.#level -= 1;
    this.#taken++;
  }

  #addDemand(own: number, fleet: number): void {
    const now = kernel.getMonotonicMilliseconds();
    const decay = Math.exp((this.#decayedAt - now) / DEMAND_WINDOW_MILLISECONDS);
    this.#decayedAt = now;
    this.#ownDemand = this.#ownDemand * decay + own;
    this.#fleetDemand = this.#fleetDemand * decay + fleet;
  }
}
