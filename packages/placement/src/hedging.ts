/**
 * Decides when a request that may be repeated is sent to a second target while its first one still
 * runs it (a hedge), whether it is, and how many such attempts a service may get.
 *
 * Designed for services of up to some hundred targets with few slots, of which a third may be
 * failing or slow for some seconds, and for VMs with about one request per second and route. A
 * second attempt is useful where the first is unusually slow for its route and other targets have
 * room. Under overload it takes a slot that another request needs, so every sign of overload
 * withholds it.
 */

import * as chooser from "./chooser.ts";

/** Most attempts that a VM may accumulate for a service, so that they do not come in a burst. */
const MAX_ACCRUED_HEDGES = 2;

/** Samples kept for each route. The highest quantile in use is the third largest of them. */
const SAMPLES_PER_ROUTE = 256;

/** Samples from which a quantile is used; one in 10 of them lies above the lowest quantile. */
const MIN_SAMPLES = 32;

/** The sorted samples of a route are used for this many new ones, which saves sorting each time. */
const SAMPLES_PER_SORT = 8;

/** Routes with samples. With 4 KB for each, they take at most 8 MB. */
const MAX_ROUTES = 2_000;

/**
 * Bounds of the quantile. An attempt sooner than the lowest duplicates calls that are about to end;
 * later than the highest, it comes too late for the 99th percentile.
 */
const MIN_QUANTILE = 0.9;
const MAX_QUANTILE = 0.99;

/**
 * Share of the extra attempts that the slowest requests of an ordinary time are to use. With all of
 * it, nothing was left for a half of the calls to a target that hung.
 */
const USUAL_PART_OF_SHARE = 0.5;

/** The 95th percentile of exponentially distributed times is three times their mean. */
const FALLBACK_IN_MEAN_TIMES = 3;

/** An attempt is not made earlier than this, in mean processing times, to meet the objective. */
const MIN_DELAY_IN_MEAN_TIMES = 2;

/** Probability from which a target counts as failing; the log reports a suspicion from there. */
const SUSPECTED_PROBABILITY = 0.5;

/**
 * At a target that is probably failing, the attempt is made after this many mean processing times:
 * a healthy target would probably have responded.
 */
const SUSPECTED_DELAY_IN_MEAN_TIMES = 1;

/**
 * Second targets are at most this likely to be failing; a target without any evidence is just below.
 */
const MAX_TARGET_FAILURE_PROBABILITY = 0.3;

/** Share of a service's retry budget that is kept for retries after failures. */
const MIN_RETRY_LEVEL = 0.5;

/** What the time of a second attempt depends on. */
export interface HedgeTiming {
  /** Quantile of the route's processing times, in milliseconds; undefined if it is not known. */
  readonly quantileMilliseconds: number | undefined;
  readonly meanProcessingMilliseconds: number;
  readonly objectiveMilliseconds: number;
  /** Time from the start of the first attempt to the deadline. */
  readonly availableMilliseconds: number;
  /** Probability that the first target is failing now. */
  readonly failureProbability: number;
}

/** Time from the start of the first attempt to the second one, in milliseconds. */
export function getHedgeDelay(timing: HedgeTiming): number {
  const mean = timing.meanProcessingMilliseconds;
  const usual = timing.quantileMilliseconds ?? mean * FALLBACK_IN_MEAN_TIMES;
  const regular = Math.min(
    Math.max(usual, mean),
    Math.max(timing.objectiveMilliseconds, mean * MIN_DELAY_IN_MEAN_TIMES),
  );
  const isSuspected = timing.failureProbability >= SUSPECTED_PROBABILITY;
  const delay = isSuspected ? Math.min(regular, mean * SUSPECTED_DELAY_IN_MEAN_TIMES) : regular;
  // The second target needs a mean processing time; if that is not left even after the first one
  // has had as much, the attempt is not brought forward and will be withheld.
  const latest = timing.availableMilliseconds - mean;
  return latest >= mean ? Math.min(delay, latest) : delay;
}

/** Shortest time to the second attempt, after which the first target's health is checked. */
export function getEarliestHedgeDelay(timing: Omit<HedgeTiming, "failureProbability">): number {
  return getHedgeDelay({ ...timing, failureProbability: 1 });
}

/**
 * Quantile of the processing times at which a service's requests are hedged, so that its share of
 * extra attempts suffices for the slowest requests.
 */
export function getHedgeQuantile(share: number): number {
  return Math.min(Math.max(1 - share * USUAL_PART_OF_SHARE, MIN_QUANTILE), MAX_QUANTILE);
}

/** Why a second attempt that is due is not made. The names appear in metrics and traces. */
export const HEDGE_OBSTACLES = [
  /** Another VM has passed the request on, and may try another target itself. */
  "passed_on",
  /** The body is not kept, so it cannot be sent again. */
  "not_buffered",
  /** The route allows no further attempt. */
  "attempts_used",
  /** This VM is stopping. */
  "stopping",
  /** The request is quarantined. */
  "quarantined",
  /** A target has ended under the request since it last succeeded. */
  "targets_ended",
  /** Less time is left than such a request takes. */
  "no_time",
  /** Requests of the service wait for a slot. */
  "requests_wait",
  /** No other healthy target has a free slot within its rate. */
  "no_free_slot",
  /** Less than half of the service's retry budget is left. */
  "retries_low",
  /** The service's share of extra attempts is used up. */
  "share_used",
] as const;

export type HedgeObstacle = typeof HEDGE_OBSTACLES[number];

/**
 * Whether a second attempt is considered again after a further mean processing time. The share of
 * extra attempts grows with each request, and a call that still runs then is the more likely to
 * hang; signs of overload are not looked at twice.
 */
export function mayHedgeLater(obstacle: HedgeObstacle): boolean {
  return obstacle === "share_used";
}

/** The state of a request and its service when a second attempt is due. */
export interface HedgeSituation {
  readonly isPassedOn: boolean;
  readonly isBuffered: boolean;
  /** Targets that may still be tried. */
  readonly attemptsLeft: number;
  readonly isStopping: boolean;
  readonly isQuarantined: boolean;
  readonly haveTargetsEnded: boolean;
  readonly leftMilliseconds: number;
  readonly meanProcessingMilliseconds: number;
  /** Requests of the service that wait on this VM. */
  readonly waitingRequests: number;
  readonly hasTarget: boolean;
  /** Share of the service's retry budget that is left, from 0 to 1. */
  readonly retryLevel: number;
  /** Whether the share of extra attempts allows one now. */
  readonly isWithinShare: boolean;
}

/** The first reason to withhold a second attempt; undefined if it may be made. */
export function findHedgeObstacle(situation: HedgeSituation): HedgeObstacle | undefined {
  const found: Record<HedgeObstacle, boolean> = {
    passed_on: situation.isPassedOn,
    not_buffered: !situation.isBuffered,
    attempts_used: situation.attemptsLeft < 1,
    stopping: situation.isStopping,
    quarantined: situation.isQuarantined,
    targets_ended: situation.haveTargetsEnded,
    no_time: situation.leftMilliseconds < situation.meanProcessingMilliseconds,
    requests_wait: situation.waitingRequests > 0,
    no_free_slot: !situation.hasTarget,
    retries_low: situation.retryLevel < MIN_RETRY_LEVEL,
    share_used: !situation.isWithinShare,
  };
  return HEDGE_OBSTACLES.find((obstacle) => found[obstacle]);
}

/**
 * Chooses the target of a second attempt: the one of least cost among those that are healthy and
 * have a free slot; undefined if there is none. It does not probe targets.
 */
export function chooseHedgeTarget(
  candidates: readonly chooser.Candidate[],
  request: chooser.PlacementRequest,
  random: () => number = Math.random,
): chooser.Candidate | undefined {
  let best: chooser.Candidate | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    const isUsable = candidate.load < candidate.slots && !candidate.isUnreachable &&
      candidate.failureProbability <= MAX_TARGET_FAILURE_PROBABILITY;
    if (!isUsable) {
      continue;
    }
    // Random noise prevents VMs with the same information from choosing the same target at once.
    const cost = chooser.getCost(candidate, request) +
      random() * request.meanProcessingMilliseconds / candidate.slots;
    if (cost < bestCost) {
      best = candidate;
      bestCost = cost;
    }
  }
  return best;
}

/**
 * The extra attempts that one VM may make for one service. It starts without any, so that neither
 * restarts nor partitions of the fleet add to them.
 */
export class HedgeAllowance {
  #level = 0;

  /** Adds the share of one request that this VM has accepted from a caller. */
  accrue(share: number): void {
    this.#level = Math.min(MAX_ACCRUED_HEDGES, this.#level + share);
  }

  /** Whether an extra attempt may be made now. */
  get isAvailable(): boolean {
    return this.#level >= 1;
  }

  /** Whether an extra attempt may be made once a further request has added its share. */
  isAvailableAfter(share: number): boolean {
    return Math.min(MAX_ACCRUED_HEDGES, this.#level + share) >= 1;
  }

  /** Takes one extra attempt; returns whether it was available. */
  take(): boolean {
    const isTaken = this.isAvailable;
    this.#level -= isTaken ? 1 : 0;
    return isTaken;
  }
}

interface RouteSamples {
  readonly values: Float64Array;
  count: number;
  next: number;
  sorted: Float64Array;
  unsorted: number;
}

/** Quantiles of the routes' processing times, over the latest calls of one VM. */
export class ProcessingQuantiles {
  /** The route that was recorded last stands last. */
  readonly #routes = new Map<string, RouteSamples>();

  /** A quantile in milliseconds; undefined while too few processing times are known. */
  get(route: string, quantile: number): number | undefined {
    const samples = this.#routes.get(route);
    if (samples === undefined || samples.count < MIN_SAMPLES) {
      return undefined;
    }
    if (samples.sorted.length < MIN_SAMPLES || samples.unsorted >= SAMPLES_PER_SORT) {
      samples.sorted = samples.values.slice(0, samples.count).sort();
      samples.unsorted = 0;
    }
    const { sorted } = samples;
    return sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))];
  }

  /** Records the processing time of a complete response. */
  record(route: string, milliseconds: number): void {
    const samples = this.#routes.get(route) ?? {
      values: new Float64Array(SAMPLES_PER_ROUTE),
      count: 0,
      next: 0,
      sorted: new Float64Array(0),
      unsorted: 0,
    };
    samples.values[samples.next] = milliseconds;
    samples.next = (samples.next + 1) % SAMPLES_PER_ROUTE;
    samples.count = Math.min(SAMPLES_PER_ROUTE, samples.count + 1);
    samples.unsorted++;
    this.#routes.delete(route);
    this.#routes.set(route, samples);
    const [oldest] = this.#routes.keys();
    if (this.#routes.size > MAX_ROUTES && oldest !== undefined) {
      this.#routes.delete(oldest);
    }
  }

  /**
   * Records a call that had no response after a time. Without these, the slowest calls would be
   * missing and the quantile would fall with each hedge. A shorter time than the quantile says
   * nothing about it.
   */
  recordAtLeast(route: string, milliseconds: number, quantile: number): void {
    if (milliseconds >= (this.get(route, quantile) ?? Number.POSITIVE_INFINITY)) {
      this.record(route, milliseconds);
    }
  }

  /** Forgets all processing times. */
  clear(): void {
    this.#routes.clear();
  }
}
