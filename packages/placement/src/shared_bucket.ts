/**
 * A token bucket that all VMs draw on, without a central owner.
 *
 * Designed for a workspace far beyond its rate whose requests are spread unevenly over all VMs. Each
 * VM reports to the others how many tokens it has taken, less those returned, and how many were
 * requested of it, both counted since its start.
 * While the level is high, tokens are taken at once. Once it is low, each VM keeps to its share of
 * the refill, in proportion to demand, so that tokens which the others take but have not yet
 * reported cannot add up. VMs that were recently known but are not in contact keep their share.
 *
 * A VM notices only after some time that it is cut off. Until the others have confirmed what it has
 * reported, it therefore takes no more than a part of the bucket, so that several VMs which are cut
 * off at once, such as those behind a relay that stands still, do not each spend all of it.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as pressures from "./rate_pressure.ts";
import * as urgency from "./urgency.ts";

/** Propagation delay assumed until the first refill. */
const INITIAL_PROPAGATION_MILLISECONDS = 300;

/** A VM with this share of the burst taken but not yet reported should report at once. */
const MAX_UNREPORTED_SHARE_OF_BURST = 0.1;

/** Unreported tokens matter once the level is below this share of the burst. */
const HIGH_LEVEL_SHARE_OF_BURST = 0.8;

/**
 * How far below zero the level may be while VMs still spend tokens of their share: this part of the
 * burst plus this number of tokens.
 */
const MAX_SHARE_DEBT_OF_BURST = 0.25;
const MAX_SHARE_DEBT_TOKENS = 2;

/** Time over which demand is averaged. */
const DEMAND_WINDOW_MILLISECONDS = 2_000;

/** Most tokens that a VM may save up from its share. */
const MAX_SHARE_TOKENS = 1.5;

/** How far below zero the level may fall, in bursts; any further debt is discarded. */
const MAX_DEBT_IN_BURSTS = 2;

/** After a longer loss of contact, tokens that were withheld are not returned to the level. */
const CONTACT_LOSS_MILLISECONDS = 2_000;

/**
 * Once all VMs are in contact again, withheld tokens that nobody has claimed are discarded at this
 * share of the rate. VMs with few requests report what they have taken only seconds later.
 */
const WITHHELD_DISCARD_SHARE = 0.25;

/** Time for which VMs may be out of contact before this is noticed. */
const UNNOTICED_LOSS_MILLISECONDS = 800;

/** So many requests of a VM that was out of contact always count as present demand. */
const MIN_RECENT_REQUESTS = 2;

/** Least number of tokens that a VM may take before the others have confirmed them. */
const MIN_UNCONFIRMED_TOKENS = 2;

/**
 * VMs for each unconfirmed token that a VM of a large fleet may hold. Half of them make its report
 * urgent, so that without this the urgent reports would grow with the fleet's requests.
 */
const VMS_PER_UNCONFIRMED_TOKEN = 32;

/** Tokens that one VM has taken, and that were requested of it, since its start. */
export interface BucketCounters {
  readonly taken: number;
  readonly requested: number;
  /** Requested tokens by class; see `getPriorityClass`. A VM of the version before reports none. */
  readonly requestedByClass?: readonly number[];
}

/** What bound a request that was refused. */
export type RateBound =
  /** Demand exceeds the refill. */
  | "demand"
  /** Tokens taken before are not confirmed, so that this VM keeps to its part of the refill. */
  | "unconfirmed"
  /** This VM has just started, and keeps to its part of the refill. */
  | "start";

/** Size of the fleet as one VM sees it. */
export interface FleetPresence {
  /** VMs in contact at present, this one included. */
  readonly present: number;
  /** The most VMs known within the recent past; at least `present`. */
  readonly expected: number;
  /** Time within which this VM receives what others have taken, in milliseconds. */
  readonly propagationMilliseconds: number;
}

/** Whether a token was taken. */
export type TakeResult =
  | "taken"
  | "refused"
  /** Tokens seem to be left, but earlier ones taken here are not confirmed yet. */
  | "unconfirmed";

/** What this VM has reported and the others have not yet confirmed. */
interface UnconfirmedReport {
  readonly sequence: number;
  readonly taken: number;
}

interface OtherVm {
  readonly incarnation: string;
  readonly counters: BucketCounters;
  /** Monotonic time at which its latest counters were received, in milliseconds. */
  readonly lastReceivedAt: number;
}

/** One VM's view of a bucket. */
export class SharedBucket {
  #burst: number;
  #allowance: number;
  #level: number;
  #taken = 0;
  #requested = 0;
  readonly #requestedByClass = new Array<number>(urgency.PRIORITY_CLASSES).fill(0);
  #requestedReported = 0;
  #bound: RateBound = "demand";
  #takenReported = 0;
  #takenConfirmed = 0;
  /** Reports that the others have not confirmed, oldest first. */
  #unconfirmed: UnconfirmedReport[] = [];
  /** The most VMs known within the recent past. */
  #expected = 1;
  readonly #createdAt = kernel.getMonotonicMilliseconds();
  readonly #others = new Map<string, OtherVm>();
  #shareLevel = 0;
  #propagationMilliseconds = INITIAL_PROPAGATION_MILLISECONDS;
  /** Share of the expected VMs that were in contact at the last refill. */
  #presentShare = 1;
  /** Tokens of the level that were withheld when VMs got out of contact, and when. */
  #divided = 0;
  #dividedAt = Number.NEGATIVE_INFINITY;
  /** Tokens that accrued for VMs out of contact. They cover what those VMs report later. */
  #withheld = 0;
  #ownDemand = 0;
  #fleetDemand = 0;
  #decayedAt = kernel.getMonotonicMilliseconds();
  readonly #pressure: pressures.RatePressure | undefined;

  /**
   * @param level Tokens at the start. A VM that replaces another starts without any.
   * @param allowance How far below zero the level may be taken: the excess that is tolerated.
   * @param pressure Decides on requests while demand exceeds the refill; if undefined, each VM then
   *   keeps to its share of the refill.
   */
  constructor(
    burst: number,
    level: number,
    allowance = 0,
    pressure?: pressures.RatePressure,
  ) {
    this.#pressure = pressure;
    this.#burst = burst;
    this.#allowance = allowance;
    this.#level = Math.min(level, burst);
  }

  /**
   * A copy on which a decision can be tried without changing this bucket. It must hold every field
   * that decides about a request.
   */
  copy(): SharedBucket {
    const copy = new SharedBucket(
      this.#burst,
      this.#level,
      this.#allowance,
      this.#pressure?.copy(),
    );
    copy.#level = this.#level;
    copy.#taken = this.#taken;
    copy.#takenConfirmed = this.#takenConfirmed;
    copy.#unconfirmed = [...this.#unconfirmed];
    copy.#expected = this.#expected;
    copy.#shareLevel = this.#shareLevel;
    copy.#propagationMilliseconds = this.#propagationMilliseconds;
    copy.#presentShare = this.#presentShare;
    copy.#ownDemand = this.#ownDemand;
    copy.#fleetDemand = this.#fleetDemand;
    copy.#decayedAt = this.#decayedAt;
    return copy;
  }

  /** Tokens left, as far as this VM knows. Negative once more tokens were taken than there were. */
  get level(): number {
    return this.#level;
  }

  /** Tokens saved up from this VM's share, to be spent while the level is low. */
  get shareLevel(): number {
    return this.#shareLevel;
  }

  /** @param excess See `PressureOptions`; without effect on a bucket without pressure. */
  setLimits(burst: number, allowance: number, excess = 0): void {
    this.#pressure?.setExcess(excess);
    this.#burst = burst;
    this.#allowance = allowance;
    this.#level = Math.min(this.#level, this.#capacity);
  }

  /** Adopts the level of a VM that has tracked the bucket for longer. */
  adoptLevel(level: number): void {
    this.#level = Math.min(level, this.#capacity);
  }

  /** Adds the tokens that have accrued for the whole fleet since the last call. */
  refill(tokens: number, presence: FleetPresence): void {
    this.#propagationMilliseconds = presence.propagationMilliseconds;
    this.#expected = Math.max(presence.expected, 1);
    const presentShare = presence.present / Math.max(presence.expected, 1);
    if (this.#pressure !== undefined) {
      this.#divideLevel(presentShare, this.#pressure);
    }
    const credited = tokens * presentShare;
    this.#level = Math.min(this.#capacity, this.#level + credited);
    this.#pressure?.refill(credited, this.#level < 0, presentShare);
    this.#withheld = presence.present < presence.expected
      ? this.#withheld + tokens - credited
      : Math.max(0, this.#withheld - tokens * WITHHELD_DISCARD_SHARE);
    // Without confirmation, the demand of the others may be unknown too.
    const isDemandKnown = this.#fleetDemand > 0 && this.#pressure?.isDemandKnown !== false;
    const share = isDemandKnown && !this.#isAtUnconfirmedLimit
      ? Math.min(1, this.#ownDemand / this.#fleetDemand)
      : 1 / this.#expected;
    this.#shareLevel = Math.min(MAX_SHARE_TOKENS, this.#shareLevel + credited * share);
  }

  /**
   * Withholds part of the tokens left once VMs get out of contact: they may take these too. Without
   * this, each part of the fleet would spend all that it did not see the others take.
   */
  #divideLevel(presentShare: number, pressure: pressures.RatePressure): void {
    if (presentShare === this.#presentShare) {
      return;
    }
    const now = kernel.getMonotonicMilliseconds();
    if (presentShare < this.#presentShare) {
      const lost = 1 - presentShare / this.#presentShare;
      // Until the loss was noticed, the whole refill was credited here; the VMs still in contact took
      // no more of it than they were asked for.
      const taken = Math.min(pressure.rate, pressure.demand * presentShare);
      const unseen = taken * UNNOTICED_LOSS_MILLISECONDS * lost;
      const withheld = Math.max(this.#level, 0) * lost + unseen;
      this.#divided += withheld;
      this.#withheld += withheld;
      this.#level -= withheld;
      this.#dividedAt = now;
    } else if (presentShare > this.#presentShare) {
      // After a short loss, what the others took is not covered by the withheld tokens.
      const isShort = now - this.#dividedAt < CONTACT_LOSS_MILLISECONDS;
      const returned = isShort ? Math.min(this.#divided, this.#withheld) : 0;
      this.#withheld -= returned;
      this.#level += returned;
      this.#divided = 0;
    }
    this.#presentShare = presentShare;
  }

  /**
   * Most tokens that may accrue. The parts of a fleet that are out of contact share the burst of a
   * rate, as they could otherwise spend it once each.
   */
  get #capacity(): number {
    return this.#pressure === undefined ? this.#burst : this.#burst * this.#presentShare;
  }

  /** Takes a token if one is available to this VM, without waiting for a confirmation. */
  take(): boolean {
    return this.tryTake(true) === "taken";
  }

  /**
   * Takes a token if one is available to this VM.
   *
   * @param isFinal Whether to take or refuse rather than to return `unconfirmed`.
   * @param priority 0 is the most urgent; matters only under pressure.
   */
  tryTake(isFinal: boolean, priority = 0): TakeResult {
    const priorityClass = urgency.getPriorityClass(priority);
    if (!isFinal && this.#isAtUnconfirmedLimit && this.#isWithinReach(priorityClass)) {
      return "unconfirmed";
    }
    return this.#take(priorityClass) ? "taken" : "refused";
  }

  /** What bound the latest request that was refused. */
  get bound(): RateBound {
    return this.#bound;
  }

  /**
   * Tokens in a millisecond that requests of a priority at this VM can expect of the refill; 0 while
   * that is unknown.
   */
  getExpectedRate(priority: number): number {
    const pressure = this.#pressure;
    if (pressure === undefined || !pressure.isDemandKnown) {
      return 0;
    }
    const priorityClass = urgency.getPriorityClass(priority);
    const own = this.#ownDemand / DEMAND_WINDOW_MILLISECONDS;
    return own * pressure.getProportion(priorityClass) *
      pressure.getShareOf(priorityClass, this.#getShare(pressure, pressure.demand));
  }

  #take(priorityClass: number): boolean {
    this.#requested++;
    this.#addDemand(1, 1);
    if (this.#pressure !== undefined) {
      this.#pressure.addDemand(1);
      this.#requestedByClass[priorityClass] = (this.#requestedByClass[priorityClass] ?? 0) + 1;
      this.#pressure.addClassDemands(createClassCount(priorityClass));
      if (this.#pressure.isDemandKnown) {
        return this.#takeUnderPressure(this.#pressure, priorityClass);
      }
      // A VM that has started does not know the demand. Without the allowance, a fleet that has
      // started again as a whole would refuse requests within the rate.
      this.#bound = "start";
    }
    if (!this.#isAtUnconfirmedLimit && this.#hasFreeTokens()) {
      this.#spend();
      return true;
    }
    const lowestLevel = -this.#burst * MAX_SHARE_DEBT_OF_BURST - MAX_SHARE_DEBT_TOKENS -
      this.#allowance;
    if (this.#shareLevel < 1 || this.#level < lowestLevel) {
      return false;
    }
    this.#shareLevel -= 1;
    this.#spend();
    return true;
  }

  /**
   * Takes a token as long as some are left besides those that others may have taken; after that, for
   * the share of the requests that the refill covers. The allowance is not used: a debt would have
   * to be paid back by refusals.
   */
  #takeUnderPressure(pressure: pressures.RatePressure, priorityClass: number): boolean {
    const demand = pressure.demand;
    const isFree = this.#hasTokensUnderPressure(demand);
    if (this.#isAtUnconfirmedLimit) {
      if (this.#shareLevel < 1) {
        this.#bound = "unconfirmed";
        return false;
      }
      this.#shareLevel -= 1;
    } else if (!pressure.admit(priorityClass, isFree ? 1 : this.#getShare(pressure, demand))) {
      this.#bound = "demand";
      return false;
    }
    this.#spend();
    return true;
  }

  #hasTokensUnderPressure(demand: number): boolean {
    const unreported = demand * this.#propagationMilliseconds;
    return this.#level >= 1 + Math.min(unreported, this.#burst);
  }

  #getShare(pressure: pressures.RatePressure, demand: number): number {
    return pressure.getShare(this.#level, this.#propagationMilliseconds, demand);
  }

  /** Whether a request would be admitted if the tokens taken before were confirmed. */
  #isWithinReach(priorityClass: number): boolean {
    const pressure = this.#pressure;
    if (pressure === undefined || !pressure.isDemandKnown) {
      return this.#hasFreeTokens();
    }
    const demand = pressure.demand;
    return this.#hasTokensUnderPressure(demand) ||
      pressure.wouldAdmit(priorityClass, this.#getShare(pressure, demand));
  }

  /** Returns a token whose request was not run. */
  returnToken(): void {
    this.#level = Math.min(this.#capacity, this.#level + 1);
    this.#taken--;
  }

  /** Whether this VM should report its counters before the next tick. */
  get isUrgent(): boolean {
    const unreported = this.#taken - this.#takenReported;
    const isConfirmationNeeded = unreported > 0 &&
      this.#taken - this.#takenConfirmed >= this.#unconfirmedLimit / 2;
    const isLevelAffected = this.#level < this.#burst * HIGH_LEVEL_SHARE_OF_BURST &&
      unreported >= Math.max(2, this.#burst * MAX_UNREPORTED_SHARE_OF_BURST);
    return isConfirmationNeeded || isLevelAffected;
  }

  /**
   * Returns this VM's counters if they have changed since the last collection.
   *
   * @param sequence Number of the report that will contain them.
   */
  collect(sequence: number): BucketCounters | undefined {
    if (this.#requested === this.#requestedReported) {
      return undefined;
    }
    this.#requestedReported = this.#requested;
    this.#takenReported = this.#taken;
    this.#unconfirmed.push({ sequence, taken: this.#taken });
    return {
      taken: this.#taken,
      requested: this.#requested,
      ...(this.#pressure === undefined
        ? {}
        : { requestedByClass: trimZeros(this.#requestedByClass) }),
    };
  }

  /**
   * Records that the others have confirmed the reports up to a sequence number; infinity if there
   * are no others.
   */
  confirm(sequence: number): void {
    if (sequence === Number.POSITIVE_INFINITY) {
      this.#takenConfirmed = this.#taken;
      this.#unconfirmed = [];
      return;
    }
    const confirmed = this.#unconfirmed.filter((report) => report.sequence <= sequence);
    const last = confirmed.at(-1);
    if (last !== undefined) {
      this.#takenConfirmed = last.taken;
      this.#unconfirmed.splice(0, confirmed.length);
    }
  }

  /**
   * Applies the counters of another VM.
   *
   * @param trackedShare Share of that VM's lifetime, from 0 to 1, during which this VM has tracked
   *   the bucket. What was taken before is already part of the level with which this VM began.
   * @param contactSince Monotonic time since which that VM has been in contact, in milliseconds;
   *   negative infinity, the default, if it always was. The first counters after that include the
   *   tokens that it took out of contact, which the withheld tokens cover.
   */
  receive(
    vm: string,
    incarnation: string,
    counters: BucketCounters,
    trackedShare: number,
    contactSince = Number.NEGATIVE_INFINITY,
  ): void {
    const previous = this.#others.get(vm);
    const before = previous?.incarnation === incarnation ? previous.counters : undefined;
    if (before !== undefined && counters.requested < before.requested) {
      return;
    }
    const share = before === undefined ? trackedShare : 1;
    const taken = (counters.taken - (before?.taken ?? 0)) * share;
    const requested = (counters.requested - (before?.requested ?? 0)) * share;
    const now = kernel.getMonotonicMilliseconds();
    const isBackInContact = contactSince > (previous?.lastReceivedAt ?? Number.NEGATIVE_INFINITY);
    const covered = isBackInContact ? Math.min(Math.max(taken, 0), this.#withheld) : 0;
    this.#withheld -= covered;
    this.#others.set(vm, { incarnation, counters, lastReceivedAt: now });
    this.#level = Math.max(
      this.#level - taken + covered,
      -MAX_DEBT_IN_BURSTS * this.#burst - this.#allowance,
    );
    this.#pressure?.addTaken(taken - covered);
    this.#addDemand(0, Math.max(requested, 0));
    const recent = isBackInContact
      ? this.#limitRecent(requested, now - (previous?.lastReceivedAt ?? this.#createdAt))
      : requested;
    this.#pressure?.addDemand(Math.max(recent, 0));
    if (counters.requestedByClass !== undefined && requested > 0) {
      const classesBefore = before?.requestedByClass;
      this.#pressure?.addClassDemands(
        counters.requestedByClass.map((count, index) =>
          (count - (classesBefore?.[index] ?? 0)) * share * recent / requested
        ),
      );
    }
  }

  /**
   * Requests that count as present demand of a VM that was out of contact: it reports all requests of
   * that time at once.
   */
  #limitRecent(requested: number, gapMilliseconds: number): number {
    const recent = requested * Math.min(1, this.#propagationMilliseconds / gapMilliseconds);
    return Math.min(requested, Math.max(MIN_RECENT_REQUESTS, recent));
  }

  get #unconfirmedLimit(): number {
    return Math.max(
      MIN_UNCONFIRMED_TOKENS,
      this.#expected / VMS_PER_UNCONFIRMED_TOKEN,
      Math.floor((this.#burst + this.#allowance) / this.#expected),
    );
  }

  get #isAtUnconfirmedLimit(): boolean {
    return this.#taken - this.#takenConfirmed >= this.#unconfirmedLimit;
  }

  /** Whether a token is left besides those that the others may have taken and not yet reported. */
  #hasFreeTokens(): boolean {
    const othersDemand = Math.max(0, this.#fleetDemand - this.#ownDemand);
    const unreported = othersDemand * this.#propagationMilliseconds / DEMAND_WINDOW_MILLISECONDS;
    return this.#level + this.#allowance >= 1 + Math.min(unreported, this.#burst);
  }

  #spend(): void {
    this.#pressure?.addTaken(1);
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

function createClassCount(priorityClass: number): number[] {
  const counts = new Array<number>(urgency.PRIORITY_CLASSES).fill(0);
  counts[priorityClass] = 1;
  return counts;
}

/** Leaves out zeros at the end, which need not be reported. */
function trimZeros(counts: readonly number[]): number[] {
  const last = counts.reduce((found, count, index) => count > 0 ? index : found, 0);
  return counts.slice(0, last + 1);
}
