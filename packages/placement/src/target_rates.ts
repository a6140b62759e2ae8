/**
 * Request rates of targets that bind all VMs together: those that targets have stated, and those of
 * cold targets.
 *
 * Designed for a target in need that accepts a few requests a second, in front of which are tens to
 * hundreds of VMs. A bucket that all VMs draw on would be overdrawn by the requests that several VMs
 * send before they hear of each other. Instead a few VMs, ranked alike by all others, divide the
 * rate among them, and the rest send the target nothing. The holders spend it without a message.
 *
 * A part of a fleet that has lost the others has as many holders as its share of the fleet allows,
 * because each holder may send one request at once, whatever its part of the rate is. Counted over
 * all parts of a fleet, the holders are at most a third more than those of the whole.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as decimals from "./decimal.ts";

/** Holders of a rate beyond one for each request a second. Each may send one request at once. */
const MIN_HOLDERS = 3;

/** Time for which the holders of a rate are kept before they are ranked again. */
const RANKING_MILLISECONDS = 250;

/** Time for which what is known of the fleet is used for all rankings. */
const FLEET_MILLISECONDS = 50;

/**
 * Lowest rate that is used, in requests per second. Without requests, no VM would learn that a limit
 * has ended.
 */
const MIN_RATE = 0.2;

/**
 * Part of a holder by which the number of holders is rounded up, so that the loss of a few VMs of a
 * large fleet does not cost a holder.
 */
const HOLDER_TOLERANCE = 0.25;

/** A VM that may hold a part of a rate. */
export interface RateHolder {
  readonly vm: model.VmId;
  readonly dataCentre: model.DataCentreId;
}

/** The fleet as one VM sees it. */
export interface RateFleet {
  /** All VMs that are known, this one included. */
  readonly members: readonly RateHolder[];
  /** Share of the VMs known within the recent past that are in contact, from 0 to 1. */
  readonly presentShare: number;
  /**
   * The same without what the VM remembers of a longer past, for rates that targets have stated;
   * `presentShare` by default.
   */
  readonly recentShare?: number;
  /**
   * Time until the members are taken to be all of the fleet, in milliseconds; 0 by default. Until
   * then, tokens accrue and none is spent.
   */
  readonly settlesInMilliseconds?: number;
}

/** Parses a stated rate, in requests per second; undefined if it is no decimal number. */
export function parseRate(text: string): number | undefined {
  return decimals.parseDecimal(text);
}

/**
 * Lists the VMs that divide the rate of a target among them. VMs in the target's data centre come
 * first, in an order that is random for each target and the same on all VMs.
 */
export function listRateHolders(
  target: model.TargetId,
  dataCentre: model.DataCentreId,
  requestsPerSecond: number,
  members: readonly RateHolder[],
  presentShare = 1,
): RateHolder[] {
  const count = countHolders(requestsPerSecond, presentShare);
  const first: RankedHolder[] = [];
  for (const member of members) {
    const ranked = {
      member,
      isRemote: member.dataCentre !== dataCentre,
      rank: mixBits(kernel.hashText(`${target} ${member.vm}`)),
    };
    const last = first[count - 1];
    if (last === undefined || compareRanks(ranked, last) < 0) {
      first.push(ranked);
      first.sort(compareRanks);
      first.length = Math.min(first.length, count);
    }
  }
  return first.map(({ member }) => member);
}

interface RankedHolder {
  readonly member: RateHolder;
  readonly isRemote: boolean;
  readonly rank: number;
}

function compareRanks(left: RankedHolder, right: RankedHolder): number {
  return Number(left.isRemote) - Number(right.isRemote) || left.rank - right.rank;
}

/** Number of the VMs that divide a rate in a fleet, or in a part of one. */
function countHolders(requestsPerSecond: number, presentShare: number): number {
  const holders = MIN_HOLDERS + Math.floor(requestsPerSecond);
  return Math.floor(holders * presentShare + HOLDER_TOLERANCE);
}

/** A request's claim on the rate of its target, by which it can be returned. */
export class RateToken {
  readonly part: object;
  readonly period: number;
  isReturned = false;

  constructor(part: object, period: number) {
    this.part = part;
    this.period = period;
  }
}

/** This VM's part of the rate of one target. */
interface RatePart {
  requestsPerSecond: number;
  /** This VM's part in requests per second; 0 if it holds none. */
  ownRate: number;
  /** Requests that may be sent now, at most one. */
  tokens: number;
  refilledAt: number;
  rankedAt: number;
  /** Monotonic time from which tokens may be spent, in milliseconds. */
  spendableFrom: number;
  /** Number of times that this VM has lost its part, with the tokens. */
  period: number;
  ranking: Ranking | undefined;
}

/** The latest ranking for a target, which is valid while what it was made from stays the same. */
interface Ranking {
  readonly dataCentre: model.DataCentreId;
  readonly members: readonly RateHolder[];
  readonly count: number;
  readonly holders: number;
  /** This VM's place among the holders; negative if it is none. */
  readonly index: number;
}

/** The rates of all targets, as one VM may use them. */
export class TargetRates {
  readonly #self: model.VmId;
  readonly #getFleet: () => RateFleet;
  readonly #parts = new Map<model.TargetId, RatePart>();
  #fleet: RateFleet | undefined;
  #fleetReadAt = Number.NEGATIVE_INFINITY;

  constructor(self: model.VmId, getFleet: () => RateFleet) {
    this.#self = self;
    this.#getFleet = getFleet;
  }

  /**
   * Time until this VM may send a request to a target, in milliseconds: 0 if it may now, infinity if
   * it holds no part of the rate.
   *
   * @param isCold Whether the limit is that of a cold target. Its holders begin spread over the
   * interval of their requests, and a part of a fleet has as many as its share allows. With a rate
   * that a target has stated, each holder waits a whole interval first, since the requests of the
   * last moments may have exceeded the rate already.
   */
  getWait(
    target: model.TargetId,
    dataCentre: model.DataCentreId,
    requestsPerSecond: number,
    isCold = false,
  ): number {
    const part = this.#update(target, dataCentre, requestsPerSecond, isCold);
    if (part.ownRate === 0) {
      return Number.POSITIVE_INFINITY;
    }
    const tokenWait = Math.max(0, 1 - part.tokens) / part.ownRate * 1_000;
    return Math.max(tokenWait, part.spendableFrom - part.refilledAt);
  }

  /** This VM's part of a target's rate in requests per second, as of the latest `getWait`. */
  getOwnRate(target: model.TargetId): number {
    return this.#parts.get(target)?.ownRate ?? 0;
  }

  /**
   * Takes the token of a request that is sent to a target; undefined if its rate is not limited.
   */
  take(target: model.TargetId): RateToken | undefined {
    const part = this.#parts.get(target);
    if (part === undefined) {
      return undefined;
    }
    part.tokens -= 1;
    return new RateToken(part, part.period);
  }

  /** Whether a token was taken from the limit of a target that is in force now. */
  isValid(target: model.TargetId, token: RateToken | undefined): boolean {
    return token !== undefined && token.part === this.#parts.get(target);
  }

  /**
   * Returns the token of a request that was not sent, once. Nothing is returned to a part that this
   * VM has lost meanwhile, with all its tokens.
   */
  returnToken(target: model.TargetId, token: RateToken): void {
    const part = this.#parts.get(target);
    if (part !== undefined && part === token.part && part.period === token.period) {
      part.tokens = Math.min(1, part.tokens + (token.isReturned ? 0 : 1));
    }
    token.isReturned = true;
  }

  /** Discards the rate of a target that states none any more or is gone. */
  removeTarget(target: model.TargetId): void {
    this.#parts.delete(target);
  }

  #update(
    target: model.TargetId,
    dataCentre: model.DataCentreId,
    limit: number,
    isCold: boolean,
  ): RatePart {
    const now = kernel.getMonotonicMilliseconds();
    const requestsPerSecond = Math.max(limit, MIN_RATE);
    let part = this.#parts.get(target);
    const isNew = part === undefined;
    if (part === undefined) {
      part = {
        requestsPerSecond,
        ownRate: 0,
        tokens: 0,
        refilledAt: now,
        rankedAt: Number.NEGATIVE_INFINITY,
        spendableFrom: now,
        period: 0,
        ranking: undefined,
      };
      this.#parts.set(target, part);
    }
    part.tokens = Math.min(1, part.tokens + part.ownRate * (now - part.refilledAt) / 1_000);
    part.refilledAt = now;
    const isRankingOld = now - part.rankedAt >= RANKING_MILLISECONDS;
    if (isRankingOld || part.requestsPerSecond !== requestsPerSecond) {
      part.requestsPerSecond = requestsPerSecond;
      part.rankedAt = now;
      const fleet = this.#readFleet(now);
      // Only a response ends a rate that a target has stated, so some VM always has a part of it.
      const share = isCold ? fleet.presentShare : fleet.recentShare ?? fleet.presentShare;
      part.spendableFrom = now + (isCold ? fleet.settlesInMilliseconds ?? 0 : 0);
      part.ranking = this.#rank(
        target,
        dataCentre,
        requestsPerSecond,
        { members: fleet.members, presentShare: isCold ? share : 1 },
        part.ranking,
      );
      const { holders, index } = part.ranking;
      if (index < 0) {
        part.ownRate = 0;
        part.tokens = 0;
        part.period++;
      } else {
        part.ownRate = requestsPerSecond / holders * share;
        if (isNew && isCold) {
          part.tokens = index / holders;
        }
      }
    }
    return part;
  }

  /** Reads the fleet once for all targets that are ranked at about the same time. */
  #readFleet(now: number): RateFleet {
    if (this.#fleet === undefined || now - this.#fleetReadAt >= FLEET_MILLISECONDS) {
      this.#fleet = this.#getFleet();
      this.#fleetReadAt = now;
    }
    return this.#fleet;
  }

  /** Ranks the members for a target, unless the ranking before is still valid. */
  #rank(
    target: model.TargetId,
    dataCentre: model.DataCentreId,
    requestsPerSecond: number,
    { members, presentShare }: RateFleet,
    before: Ranking | undefined,
  ): Ranking {
    const count = countHolders(requestsPerSecond, presentShare);
    const isValid = before?.members === members && before.count === count &&
      before.dataCentre === dataCentre;
    if (isValid) {
      return before;
    }
    const holders = listRateHolders(target, dataCentre, requestsPerSecond, members, presentShare);
    const index = holders.findIndex(({ vm }) => vm === this.#self);
    return { dataCentre, members, count, holders: holders.length, index };
  }
}

/** Spreads a hash over all bits, so that neighbouring texts get unrelated ranks. */
function mixBits(hash: number): number {
  let mixed = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
