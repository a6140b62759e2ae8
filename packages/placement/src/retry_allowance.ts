/**
 * One VM's part in the budget of retries: what it earns, lends, holds and spends.
 *
 * Each VM that has requests holds a token of the pool that it uses, and replaces it when it is spent:
 * the answer comes within milliseconds. A retry in that time waits for it, for a moment. A VM without
 * a pool of another VM, because it is the holder itself or hears none, uses its own.
 *
 * Nothing may be counted twice, so a lender takes its capacity for lent longer than the holder does,
 * and drops tokens sooner. See `retry_pool.ts`.
 */

import * as kernel from "@hemlockwalk/kernel";
import * as pools from "./retry_pool.ts";

/**
 * Time by which a lender's view of a lease is longer, and of a token shorter, than the holder's.
 * Covers a standstill that is too short to be noticed.
 */
const MARGIN_MILLISECONDS = 500;

/** A holder that has not responded for this time is not asked any more before it does. */
const RESPONSE_MILLISECONDS = 1_000;

/** Longest wait of a retry for a token. */
const MAX_WAIT_MILLISECONDS = 50;

/** Interval of requests to a holder that has no token left, while retries wait. */
const WAITING_INTERVAL_MILLISECONDS = 20;

/** Interval of requests to the holder with tokens that were earned. */
const REQUEST_INTERVAL_MILLISECONDS = 250;

/** Interval of requests that only renew the lease. */
const RENEWAL_INTERVAL_MILLISECONDS = 500;

/** A service without a request for this time needs no token. */
const ACTIVE_MILLISECONDS = 15_000;

/** A VM that has not retried for this time holds no token if there is not one for each VM. */
const WANTED_MILLISECONDS = 5_000;

/** Time after a retry was refused for which one more token is held. */
const SCARCE_MILLISECONDS = 1_000;

/** How a VM takes part in the budget. */
export interface AllowanceOptions {
  /** Tokens that this VM may contribute to what is saved up, of each service. */
  readonly getCapacity: () => number;
  /**
   * Whether the fleet starts for the first time, so that nothing has been spent and the capacity is
   * full. Otherwise an earlier process of this VM may have lent the capacity, and spent the tokens.
   */
  readonly isFirstStart: boolean;
  /** Identifies the process that holds the pool to use; undefined if this VM uses its own. */
  readonly getHolder: () => number | undefined;
  /** Whether a process has announced its end, after which its pool grants nothing. */
  readonly hasLeft: (holder: number) => boolean;
  /** Sends a request to the holder. */
  readonly send: (request: pools.TokenRequest) => void;
}

interface ServiceState {
  /** Tokens held. */
  held: number;
  /** Tokens earned and not yet passed to the holder. */
  earned: number;
  requestedAt: number;
  /** Monotonic time at which a retry was last wanted, and refused, in milliseconds. */
  wantedAt: number;
  refusedAt: number;
  /** Share of the holder's capacity that was filled at its latest response. */
  filled: number;
  /** Retries that wait for a token, the first one first. */
  readonly waiting: ((isTaken: boolean) => void)[];
}

interface SentRequest {
  readonly sequence: number;
  readonly sentAt: number;
  /** When the request was sent whose response this one repeats; undefined without one. */
  readonly echoSentAt: number | undefined;
}

/** What one VM may spend on retries. */
export class RetryAllowance {
  /** The pool that this VM holds for itself and for others. */
  readonly pool = new pools.RetryPool(() => this.#getOwnCapacity());
  readonly #options: AllowanceOptions;
  readonly #services = new Map<string, ServiceState>();
  readonly #startedAt = kernel.getMonotonicMilliseconds();
  #holder: number | undefined;
  #sequence = 0;
  #sent: SentRequest | undefined;
  #sentAt = Number.NEGATIVE_INFINITY;
  /** The latest response of the holder: its stamp, and when the request for it was sent. */
  #echo: { readonly stamp: number; readonly sentAt: number } | undefined;
  #respondedAt = Number.NEGATIVE_INFINITY;
  /** Until when the tokens held may be spent. */
  #heldUntil = Number.NEGATIVE_INFINITY;
  /** The pool to which the capacity was lent last, and until when that pool may count on it. */
  #lentTo: number | undefined;
  #lentUntil = Number.NEGATIVE_INFINITY;
  #waitingTimer: NodeJS.Timeout | undefined;

  constructor(options: AllowanceOptions) {
    this.#options = options;
  }

  /** Adds what a request of a caller earns. */
  earn(service: string, tokens: number): void {
    const state = this.#getService(service);
    state.requestedAt = kernel.getMonotonicMilliseconds();
    this.#add(service, state, tokens);
  }

  /** Takes a token for a retry, if this VM has one. */
  take(service: string): boolean {
    const now = kernel.getMonotonicMilliseconds();
    const state = this.#getService(service);
    state.wantedAt = now;
    if (!this.#takeHeld(state, now) && (this.#isServed || !this.pool.take(service))) {
      state.refusedAt = now;
      this.#request();
      return false;
    }
    this.#request();
    return true;
  }

  /** Takes a token, or waits for a moment for the holder's next response. */
  takeOrWait(service: string): boolean | Promise<boolean> {
    if (this.take(service)) {
      return true;
    }
    const { waiting } = this.#getService(service);
    if (!this.#isServed) {
      return false;
    }
    return new Promise((resolve) => {
      const settle = (isTaken: boolean) => {
        clearTimeout(timer);
        resolve(isTaken);
      };
      const timer = setTimeout(() => {
        waiting.splice(waiting.indexOf(settle), 1);
        resolve(false);
      }, MAX_WAIT_MILLISECONDS);
      waiting.push(settle);
      this.#request();
    });
  }

  #takeHeld(state: ServiceState, now: number): boolean {
    if (state.held < 1 || now >= this.#heldUntil) {
      return false;
    }
    state.held -= 1;
    return true;
  }

  /**
   * Share of the tokens that may be saved up which are there, from 0 to 1.
   *
   * @param earned Tokens that are added first, as far as they stay at this VM.
   */
  getFilledShare(service: string, earned = 0): number {
    const state = this.#getService(service);
    return this.#isServed ? state.filled : this.pool.getFilledShare(service, earned);
  }

  /** Sends a request to the holder if one is due; called every 100 ms. */
  advance(): void {
    const now = kernel.getMonotonicMilliseconds();
    this.#followHolder();
    if (!this.#isServed) {
      this.#services.forEach((state, service) => {
        this.pool.deposit(service, state.earned);
        state.earned = 0;
      });
    }
    const active = [...this.#services.values()].filter((state) => isActiveAt(state, now));
    const hasNews = active.some((state) => state.earned > 0 || this.#countWanted(state, now) > 0);
    const interval = hasNews ? REQUEST_INTERVAL_MILLISECONDS : RENEWAL_INTERVAL_MILLISECONDS;
    if (active.length > 0 && now - this.#sentAt >= interval) {
      this.#request();
    }
  }

  /** Handles a response of a holder. */
  receive(holder: number, response: pools.TokenResponse): void {
    this.#followHolder();
    const sent = this.#sent;
    if (holder !== this.#holder || sent?.sequence !== response.sequence) {
      return;
    }
    const now = kernel.getMonotonicMilliseconds();
    this.#sent = undefined;
    this.#respondedAt = now;
    this.#echo = { stamp: response.stamp, sentAt: sent.sentAt };
    if (sent.echoSentAt === undefined) {
      this.#request();
      return;
    }
    if (now >= this.#heldUntil) {
      this.#dropHeld();
    }
    this.#heldUntil = sent.echoSentAt + pools.LEASE_MILLISECONDS - MARGIN_MILLISECONDS;
    for (const [service, state] of this.#services) {
      state.held += response.granted[service] ?? 0;
      state.filled = response.filled[service] ?? state.filled;
      while (state.waiting.length > 0 && this.#takeHeld(state, now)) {
        state.waiting.shift()?.(true);
      }
    }
    const states = [...this.#services.values()];
    // A token may have been spent while the response was under way.
    if (states.some((state) => state.wantedAt > sent.sentAt && this.#countWanted(state, now) > 0)) {
      this.#request();
    } else if (states.some(({ waiting }) => waiting.length > 0)) {
      this.#waitingTimer ??= setTimeout(() => {
        this.#waitingTimer = undefined;
        this.#request();
      }, WAITING_INTERVAL_MILLISECONDS);
    }
  }

  /** Drops everything that depends on the time, after this VM has stood still. */
  clear(): void {
    this.#services.forEach(({ waiting }) => waiting.splice(0).forEach((settle) => settle(false)));
    this.#dropHeld();
    this.#services.forEach((state) => state.earned = 0);
    this.#sent = undefined;
    this.#echo = undefined;
    this.pool.clear();
  }

  /** Capacity of this VM's own pool. */
  #getOwnCapacity(): number {
    return this.#isLent ? 0 : this.#options.getCapacity();
  }

  /** Whether a pool other than this VM's own may count on the capacity. */
  get #isLent(): boolean {
    const now = kernel.getMonotonicMilliseconds();
    const { isFirstStart, hasLeft } = this.#options;
    const isStarting = !isFirstStart && now < this.#startedAt + getLentMilliseconds();
    const isFree = this.#lentTo === undefined || hasLeft(this.#lentTo);
    return isStarting || (!isFree && now < this.#lentUntil);
  }

  /** Whether the holder has responded lately. */
  get #isServed(): boolean {
    const silence = kernel.getMonotonicMilliseconds() - this.#respondedAt;
    return this.#options.getHolder() !== undefined &&
      this.#options.getHolder() === this.#holder && silence < RESPONSE_MILLISECONDS;
  }

  #followHolder(): void {
    const holder = this.#options.getHolder();
    if (holder !== this.#holder) {
      this.#holder = holder;
      this.#sent = undefined;
      this.#echo = undefined;
      this.#respondedAt = Number.NEGATIVE_INFINITY;
    }
  }

  /** Sends a request to the holder, unless its response to the previous one may still come. */
  #request(): void {
    this.#followHolder();
    const now = kernel.getMonotonicMilliseconds();
    const holder = this.#holder;
    const isWaiting = this.#sent !== undefined && now - this.#sent.sentAt < RESPONSE_MILLISECONDS;
    if (holder === undefined || isWaiting) {
      return;
    }
    if (now >= this.#heldUntil) {
      this.#dropHeld();
    }
    const request = this.#createRequest(holder, now);
    this.#sent = { sequence: request.sequence, sentAt: now, echoSentAt: this.#echo?.sentAt };
    this.#sentAt = now;
    this.#options.send(request);
  }

  #createRequest(holder: number, now: number): pools.TokenRequest {
    const sequence = ++this.#sequence;
    const echo = this.#echo?.stamp;
    if (echo === undefined) {
      // The holder cannot date it, and may be of a version that does not respond.
      return { sequence, capacity: 0, earned: {}, held: {}, wanted: {} };
    }
    const capacity = this.#lend(holder, now);
    const earned: Record<string, number> = {};
    const held: Record<string, number> = {};
    const wanted: Record<string, number> = {};
    for (const [service, state] of this.#services) {
      this.#returnUnneeded(state, now);
      addCount(earned, service, state.earned);
      addCount(held, service, state.held);
      addCount(wanted, service, this.#countWanted(state, now));
      state.earned = 0;
    }
    return { sequence, echo, capacity, earned, held, wanted };
  }

  /** Lends the capacity to a holder, unless another one may still count on it. */
  #lend(holder: number, now: number): number {
    if (this.#isLent && this.#lentTo !== holder) {
      return 0;
    }
    // What this VM's own pool has saved was kept for the same capacity.
    this.#services.forEach((state, service) => state.earned += this.pool.takeAll(service));
    this.#lentTo = holder;
    this.#lentUntil = now + getLentMilliseconds();
    return this.#options.getCapacity();
  }

  /** Tokens that this VM wants besides those that it holds. */
  #countWanted(state: ServiceState, now: number): number {
    const isScarce = now - state.refusedAt < SCARCE_MILLISECONDS;
    const needed = this.#countNeeded(state, now) + (isScarce ? 1 : 0) + state.waiting.length;
    return Math.max(0, needed - Math.floor(state.held));
  }

  /** Where the capacity does not suffice for all VMs, only those that retry hold a token. */
  #countNeeded(state: ServiceState, now: number): number {
    const isWanted = now - state.wantedAt < WANTED_MILLISECONDS;
    const mayHoldAhead = this.#options.getCapacity() >= 1 && isActiveAt(state, now);
    return isWanted || mayHoldAhead ? 1 : 0;
  }

  #returnUnneeded(state: ServiceState, now: number): void {
    const isScarce = now - state.refusedAt < SCARCE_MILLISECONDS;
    if (state.held > 0 && !isScarce && this.#countNeeded(state, now) === 0) {
      state.earned += state.held;
      state.held = 0;
    }
  }

  #add(service: string, state: ServiceState, tokens: number): void {
    if (this.#isServed) {
      state.earned += tokens;
    } else {
      this.pool.deposit(service, tokens);
    }
  }

  #dropHeld(): void {
    this.#services.forEach((state) => state.held = 0);
    this.#heldUntil = Number.NEGATIVE_INFINITY;
  }

  #getService(service: string): ServiceState {
    let state = this.#services.get(service);
    if (state === undefined) {
      state = {
        held: 0,
        earned: 0,
        requestedAt: Number.NEGATIVE_INFINITY,
        wantedAt: Number.NEGATIVE_INFINITY,
        refusedAt: Number.NEGATIVE_INFINITY,
        filled: this.#options.isFirstStart ? 1 : 0,
        waiting: [],
      };
      this.#services.set(service, state);
      if (this.#options.isFirstStart) {
        this.#add(service, state, this.#options.getCapacity());
      }
    }
    return state;
  }
}

/** Time for which a lender takes its capacity for lent. */
function getLentMilliseconds(): number {
  return pools.LEASE_MILLISECONDS + MARGIN_MILLISECONDS;
}

function isActiveAt(state: ServiceState, now: number): boolean {
  return now - state.requestedAt < ACTIVE_MILLISECONDS;
}

function addCount(counts: Record<string, number>, service: string, count: number): void {
  if (count > 0) {
    counts[service] = count;
  }
}
