/**
 * Admission to a shared bucket while more is requested than the rate allows.
 *
 * Designed for a workspace at up to five times its rate, spread evenly over 30 to 300 VMs or
 * concentrated on a few. Every VM admits the same share of its requests: the refill divided by the
 * demand of the whole fleet. No VM therefore holds tokens that it cannot use, and no VM needs an
 * estimate of its own demand, which is too noisy at less than one request per second. What is
 * admitted beyond or below the refill corrects this share within a second.
 */

import * as kernel from "@hemlockwalk/kernel";
import * as urgency from "./urgency.ts";

const BIN_MILLISECONDS = 50;

/** Bins kept, the current one included. */
const BIN_COUNT = 41;

/** Time over which steady demand is averaged. */
const LONG_WINDOW_MILLISECONDS = 2_000;

/** Windows that replace the long one if demand has changed, longest first. */
const SHORT_WINDOWS_MILLISECONDS = [1_000, 500, 250];
const MIN_WINDOW_MILLISECONDS = 200;

/** A change of demand is assumed from this number of standard deviations of the count. */
const CHANGE_DEVIATIONS = 4;

/** Time within which a deviation of the admitted load from the refill is corrected. */
const CORRECTION_MILLISECONDS = 800;

/**
 * Greatest correction, as a share of the rate. It covers errors of the demand; a greater one would
 * turn the overspending of the first second into refusals during the next.
 */
const MAX_CORRECTION = 0.12;

/** Share of the refill that is admitted while a debt is paid back. */
const SHARE_WHILE_IN_DEBT = 0.98;

/** Least time over which tokens above zero are spent. */
const MIN_SPENDING_MILLISECONDS = 300;

/** A VM that has started knows the demand of the fleet after this time. */
const OBSERVATION_MILLISECONDS = 1_000;

/** Limits of the decision, and where a VM's view of the demand begins. */
export interface PressureOptions {
  /**
   * Monotonic time from which reports of the other VMs were received, in milliseconds. Negative
   * infinity, the default, if there was no demand before.
   */
  readonly observedSince?: number;
  /**
   * Requests beyond rate and burst that are tolerated within the window of the bound; 0, the
   * default, if a debt is always paid back at once.
   */
  readonly excess?: number;
  /** Draws numbers from 0 to 1. */
  readonly random?: () => number;
}

/**
 * Parts of the tolerated excess that a debt may use up before less of the refill is admitted, and
 * at which nothing is admitted.
 */
const DEBT_BRAKE_SHARE = 0.6;
const DEBT_STOP_SHARE = 0.85;

/** Estimates the fleet's demand, and decides which of this VM's requests are admitted. */
export class RatePressure {
  readonly #bins = new Float64Array(BIN_COUNT);
  /** Sums of the squares of the numbers recorded together. */
  readonly #squares = new Float64Array(BIN_COUNT);
  #bin = Math.floor(kernel.getMonotonicMilliseconds() / BIN_MILLISECONDS);
  /** Refill of the fleet, in tokens per millisecond. */
  #rate = 0;
  #presentShare = 1;
  #refilledAt = kernel.getMonotonicMilliseconds();
  /** Tokens refilled less tokens admitted, limited to the greatest correction. */
  #balance = 0;
  /**
   * Part of a request of each class that is admitted next. A random start keeps the VMs out of step.
   */
  readonly #credits: number[];
  /** Requests of each class in the fleet, averaged. Only their proportions are used. */
  readonly #classDemands = new Array<number>(urgency.PRIORITY_CLASSES).fill(0);
  #classesDecayedAt = kernel.getMonotonicMilliseconds();

  readonly #observedSince: number;
  #excess: number;

  constructor(options: PressureOptions = {}) {
    this.#observedSince = options.observedSince ?? Number.NEGATIVE_INFINITY;
    this.#excess = options.excess ?? 0;
    const random = options.random ?? Math.random;
    this.#credits = Array.from({ length: urgency.PRIORITY_CLASSES }, () => random());
  }

  /** A copy on which a decision can be tried without changing this one; see `SharedBucket.copy`. */
  copy(): RatePressure {
    let next = 0;
    const copy = new RatePressure({
      observedSince: this.#observedSince,
      excess: this.#excess,
      random: () => this.#credits[next++] ?? 0,
    });
    copy.#bins.set(this.#bins);
    copy.#squares.set(this.#squares);
    copy.#bin = this.#bin;
    copy.#rate = this.#rate;
    copy.#presentShare = this.#presentShare;
    copy.#refilledAt = this.#refilledAt;
    copy.#balance = this.#balance;
    this.#classDemands.forEach((demand, index) => copy.#classDemands[index] = demand);
    copy.#classesDecayedAt = this.#classesDecayedAt;
    return copy;
  }

  /** Sets the excess that is tolerated; see `PressureOptions`. */
  setExcess(excess: number): void {
    this.#excess = excess;
  }

  /** Tokens credited to this VM's view of the bucket, in a millisecond. */
  get rate(): number {
    return this.#rate;
  }

  /** Whether reports were received for long enough to know the demand of the fleet. */
  get isDemandKnown(): boolean {
    return this.#observedMilliseconds >= OBSERVATION_MILLISECONDS;
  }

  /** The fleet's demand, in requests per millisecond. */
  get demand(): number {
    this.#advance();
    const longWindow = Math.min(
      LONG_WINDOW_MILLISECONDS,
      Math.max(OBSERVATION_MILLISECONDS, this.#observedMilliseconds),
    );
    const long = this.#count(this.#bins, longWindow) / longWindow;
    if (long === 0) {
      return 0;
    }
    const size = this.#count(this.#squares, longWindow) / (long * longWindow);
    const changed = SHORT_WINDOWS_MILLISECONDS.find((window) =>
      this.#isChanged(long, window, size)
    );
    return changed === undefined ? long : this.#findLatest(changed, size);
  }

  /** Records how many requests of each class there were, of this VM or reported by another one. */
  addClassDemands(requests: readonly number[]): void {
    const now = kernel.getMonotonicMilliseconds();
    const decay = Math.exp((this.#classesDecayedAt - now) / LONG_WINDOW_MILLISECONDS);
    this.#classesDecayedAt = now;
    this.#classDemands.forEach((demand, index) => {
      this.#classDemands[index] = demand * decay + Math.max(0, requests[index] ?? 0);
    });
  }

  /** Records requests, of this VM or reported by another one. */
  addDemand(requests: number): void {
    this.#advance();
    const index = this.#bin % BIN_COUNT;
    this.#bins[index] = (this.#bins[index] ?? 0) + requests;
    this.#squares[index] = (this.#squares[index] ?? 0) + requests ** 2;
  }

  /** Records tokens taken, of this VM or reported by another one. */
  addTaken(tokens: number): void {
    this.#setBalance(this.#balance - tokens);
  }

  /**
   * Records the tokens credited to this VM's view of the bucket since the last call.
   *
   * @param presentShare Share of the VMs that are in contact. The others may use the rest of the
   *   tolerated excess.
   */
  refill(tokens: number, isInDebt: boolean, presentShare: number): void {
    const now = kernel.getMonotonicMilliseconds();
    const elapsed = now - this.#refilledAt;
    if (elapsed <= 0) {
      return;
    }
    this.#refilledAt = now;
    this.#rate = tokens / elapsed;
    this.#presentShare = presentShare;
    this.#setBalance(this.#balance + tokens * (isInDebt ? SHARE_WHILE_IN_DEBT : 1));
  }

  /**
   * Share of the requests to admit, from 0 to 1.
   *
   * @param level Tokens left.
   * @param propagationMilliseconds Time within which this VM receives what others have taken.
   * @param demand The fleet's demand, for a caller that has determined it already.
   */
  getShare(level: number, propagationMilliseconds: number, demand = this.demand): number {
    if (demand <= 0) {
      return 1;
    }
    const spending = Math.max(MIN_SPENDING_MILLISECONDS, propagationMilliseconds);
    const target = level < 0
      ? this.#rate * getShareInDebt(-level, this.#excess * this.#presentShare)
      : this.#rate + level / spending;
    const admitted = target + this.#balance / CORRECTION_MILLISECONDS;
    return Math.min(1, Math.max(0, admitted / demand));
  }

  /**
   * Share of the requests of a class to admit, most urgent first.
   *
   * @param share Share of all requests to admit.
   */
  getShareOf(priorityClass: number, share: number): number {
    const demands = this.#classDemands;
    const total = demands.reduce((sum, demand) => sum + demand, 0);
    const demand = demands[priorityClass] ?? 0;
    if (share >= 1 || demand <= 0) {
      return share;
    }
    const parts = urgency.divideByUrgency(share * total, demands);
    return (parts[priorityClass] ?? 0) / demand;
  }

  /** Proportion of a class among the requests of the fleet, from 0 to 1. */
  getProportion(priorityClass: number): number {
    const total = this.#classDemands.reduce((sum, demand) => sum + demand, 0);
    return total > 0 ? (this.#classDemands[priorityClass] ?? 0) / total : 0;
  }

  /** Whether `admit` would admit the next request of a class. */
  wouldAdmit(priorityClass: number, share: number): boolean {
    return (this.#credits[priorityClass] ?? 0) + this.getShareOf(priorityClass, share) >= 1;
  }

  /** Whether the next request of a class is admitted, given the share of all to admit. */
  admit(priorityClass: number, share: number): boolean {
    const credit = (this.#credits[priorityClass] ?? 0) + this.getShareOf(priorityClass, share);
    this.#credits[priorityClass] = credit < 1 ? credit : credit - 1;
    return credit >= 1;
  }

  get #observedMilliseconds(): number {
    return kernel.getMonotonicMilliseconds() - this.#observedSince;
  }

  #setBalance(balance: number): void {
    const limit = Math.max(1, this.#rate * CORRECTION_MILLISECONDS * MAX_CORRECTION);
    this.#balance = Math.min(limit, Math.max(-limit, balance));
  }

  /**
   * Whether a window differs from the average by more than chance.
   *
   * @param size Requests recorded together. The reports of few VMs hold many each, so that a short
   *   window holds a varying number of reports.
   */
  #isChanged(average: number, window: number, size: number): boolean {
    const expected = average * window;
    const deviation = Math.sqrt(expected * size + 1);
    return Math.abs(this.#count(this.#bins, window) - expected) > CHANGE_DEVIATIONS * deviation;
  }

  /** Demand of a window, or of a shorter one in which it has changed again. */
  #findLatest(window: number, size: number): number {
    const average = this.#count(this.#bins, window) / window;
    const shorter = window / 2;
    return shorter >= MIN_WINDOW_MILLISECONDS && this.#isChanged(average, shorter, size)
      ? this.#findLatest(shorter, size)
      : average;
  }

  /** Sum over a window that ends now. */
  #count(bins: Float64Array, window: number): number {
    const position = kernel.getMonotonicMilliseconds() / BIN_MILLISECONDS;
    const current = Math.floor(position);
    const first = position - window / BIN_MILLISECONDS;
    let count = 0;
    for (let bin = current; bin > first - 1 && bin > current - BIN_COUNT; bin--) {
      const covered = Math.min(1, bin + 1 - first);
      count += (bins[(bin % BIN_COUNT + BIN_COUNT) % BIN_COUNT] ?? 0) * covered;
    }
    return count;
  }

  /** Clears the bins between the last recorded one and the current one. */
  #advance(): void {
    const current = Math.floor(kernel.getMonotonicMilliseconds() / BIN_MILLISECONDS);
    if (current - this.#bin >= BIN_COUNT) {
      this.#bins.fill(0);
      this.#squares.fill(0);
      this.#bin = current;
    }
    while (this.#bin < current) {
      this.#bin++;
      this.#bins[this.#bin % BIN_COUNT] = 0;
      this.#squares[this.#bin % BIN_COUNT] = 0;
    }
  }
}

/** Share of the refill that is admitted at a debt, so that the tolerated excess is never used up. */
function getShareInDebt(debt: number, excess: number): number {
  const used = debt / Math.max(excess, 1);
  const left = (DEBT_STOP_SHARE - used) / (DEBT_STOP_SHARE - DEBT_BRAKE_SHARE);
  return Math.min(SHARE_WHILE_IN_DEBT, Math.max(0, left));
}
