/**
 * Tokens for retries that several VMs share, held by one of them.
 *
 * Designed for a service whose targets fail at once before fleets of 3 to 1,000 VMs, while VMs are
 * cut off from each other, killed and replaced, and messages are late: the retries of all VMs
 * together must keep to one budget. A count of what the others have taken is always late, and a VM
 * that is cut off does not have it. So nothing is counted across VMs. Tokens are moved, and each is
 * spent once:
 *
 * - A token exists only because a VM has accepted requests. Each request earns a part of one.
 * - Each VM contributes the same capacity, a part of the budget's slack, and lends it to one pool at
 *   a time. A pool and the VMs that hold tokens of it never keep more than the capacity lent to it.
 *
 * Within any window, the retries of all VMs are therefore at most what their requests have earned in
 * it, and the sum of their capacities, which was saved before.
 *
 * A lease is dated from the holder's earlier response, which the lender repeats. That was before the
 * lending, so the lease ends for the holder first, however late the message was.
 */

import * as kernel from "@hemlockwalk/kernel";

/** Time for which a holder counts on a capacity, from its response that the lender repeats. */
export const LEASE_MILLISECONDS = 2_000;

/** Tokens that were earned longer ago are dropped: they would add to those saved up. */
const MAX_EARNED_AGE_MILLISECONDS = 1_000;

/** What a VM tells the holder of the pool that it uses. */
export interface TokenRequest {
  /** Number of the request, which its response repeats. */
  readonly sequence: number;
  /** `stamp` of the holder's latest response; undefined before the first one. */
  readonly echo?: number | undefined;
  /** Tokens that the pool may keep for it, of each service. */
  readonly capacity: number;
  /** Tokens earned since the previous request, by service. */
  readonly earned: Readonly<Record<string, number>>;
  /** Tokens granted before that it has not used, by service. */
  readonly held: Readonly<Record<string, number>>;
  /** Further tokens that it wants to hold, by service. */
  readonly wanted: Readonly<Record<string, number>>;
}

/** The holder's response. */
export interface TokenResponse {
  readonly sequence: number;
  /** Time of the response on the holder's monotonic clock, in milliseconds. */
  readonly stamp: number;
  readonly granted: Readonly<Record<string, number>>;
  /** Share of the capacity that is filled, from 0 to 1, of each service named in the request. */
  readonly filled: Readonly<Record<string, number>>;
}

interface Lender {
  /** Number of its latest request. */
  readonly sequence: number;
  readonly capacity: number;
  /** Monotonic time until which its capacity and tokens count, in milliseconds. */
  readonly until: number;
  /** Tokens that it holds, by service. */
  readonly held: Map<string, number>;
}

/** The tokens that one VM holds for itself and for those that lend it their capacity. */
export class RetryPool {
  readonly #getOwnCapacity: () => number;
  /** By the tags of their processes. A VM that starts again lends only once its lease has ended. */
  readonly #lenders = new Map<number, Lender>();
  readonly #levels = new Map<string, number>();

  /** @param getOwnCapacity Returns this VM's own capacity; 0 while another pool may count on it. */
  constructor(getOwnCapacity: () => number) {
    this.#getOwnCapacity = getOwnCapacity;
  }

  /** Tokens that the pool and its lenders may keep, of each service. */
  get capacity(): number {
    this.#expire();
    return [...this.#lenders.values()].reduce(
      (sum, lender) => sum + lender.capacity,
      this.#getOwnCapacity(),
    );
  }

  /** Adds tokens; those beyond the capacity are dropped. */
  deposit(service: string, tokens: number): void {
    const room = this.capacity - this.#countHeld(service);
    const level = (this.#levels.get(service) ?? 0) + tokens;
    this.#levels.set(service, Math.max(0, Math.min(level, room)));
  }

  /** Takes a token for a retry of this VM, if there is one. */
  take(service: string): boolean {
    return this.#takeUpTo(service, 1) === 1;
  }

  /** Takes all tokens, which are moved to another pool. */
  takeAll(service: string): number {
    const level = this.#levels.get(service) ?? 0;
    this.#levels.delete(service);
    return level;
  }

  /**
   * Share of the capacity that is filled with tokens, from 0 to 1.
   *
   * @param earned Tokens that are added first.
   */
  getFilledShare(service: string, earned = 0): number {
    const { capacity } = this;
    if (capacity <= 0) {
      return 0;
    }
    const unspent = (this.#levels.get(service) ?? 0) + this.#countHeld(service) + earned;
    return Math.min(1, unspent / capacity);
  }

  /**
   * Handles a request of another VM.
   *
   * @param tag Identifies the process that sent it.
   */
  receive(tag: number, request: TokenRequest): TokenResponse {
    const now = kernel.getMonotonicMilliseconds();
    const { sequence, echo, capacity, earned, held, wanted } = request;
    const granted = new Map<string, number>();
    const isLatest = sequence > (this.#lenders.get(tag)?.sequence ?? 0);
    // Without the echo of an earlier response, nothing tells how old the request is.
    if (typeof echo === "number" && echo <= now && isLatest) {
      const lender = {
        sequence,
        capacity,
        until: echo + LEASE_MILLISECONDS,
        held: toPositive(held),
      };
      this.#lenders.set(tag, lender);
      if (now - echo <= MAX_EARNED_AGE_MILLISECONDS) {
        toPositive(earned).forEach((tokens, service) => this.deposit(service, tokens));
        for (const [service, tokens] of toPositive(wanted)) {
          const taken = this.#takeUpTo(service, tokens);
          granted.set(service, taken);
          lender.held.set(service, (lender.held.get(service) ?? 0) + taken);
        }
      }
    }
    const services = Object.keys({ ...earned, ...held, ...wanted });
    const filled = services.map((service) => [service, this.getFilledShare(service)] as const);
    return {
      sequence,
      stamp: now,
      granted: Object.fromEntries(granted),
      filled: Object.fromEntries(filled),
    };
  }

  /** Drops all tokens and leases, since it is not known how old they are. */
  clear(): void {
    this.#lenders.clear();
    this.#levels.clear();
  }

  #takeUpTo(service: string, tokens: number): number {
    // The capacity may have shrunk since the last deposit.
    this.deposit(service, 0);
    const level = this.#levels.get(service) ?? 0;
    const taken = Math.min(Math.floor(level), Math.floor(tokens));
    this.#levels.set(service, level - taken);
    return taken;
  }

  #countHeld(service: string): number {
    return [...this.#lenders.values()].reduce(
      (sum, lender) => sum + (lender.held.get(service) ?? 0),
      0,
    );
  }

  #expire(): void {
    const now = kernel.getMonotonicMilliseconds();
    for (const [tag, { until }] of this.#lenders) {
      if (until <= now) {
        this.#lenders.delete(tag);
      }
    }
  }
}

function toPositive(counts: Readonly<Record<string, number>>): Map<string, number> {
  return new Map(Object.entries(counts).filter(([, count]) => count > 0));
}

/** Whether a payload of another VM has the shape of a request. */
export function isTokenRequest(payload: unknown): payload is TokenRequest {
  const request = payload as Partial<TokenRequest> | null | undefined;
  return Number.isFinite(request?.sequence) &&
    (request?.echo === undefined || request.echo === null || Number.isFinite(request.echo)) &&
    Number.isFinite(request?.capacity) &&
    [request?.earned, request?.held, request?.wanted].every(isCountTable);
}

/** Whether a payload of another VM has the shape of a response. */
export function isTokenResponse(payload: unknown): payload is TokenResponse {
  const response = payload as Partial<TokenResponse> | null | undefined;
  return Number.isFinite(response?.sequence) && Number.isFinite(response?.stamp) &&
    [response?.granted, response?.filled].every(isCountTable);
}

function isCountTable(value: unknown): boolean {
  return typeof value === "object" && value !== null &&
    Object.values(value).every((count) => Number.isFinite(count) && count >= 0);
}
