/**
 * Chooses the target of a request.
 *
 * Designed for targets with few slots that all VMs share, up to a third of which are failing at any
 * time. Each candidate has a cost in milliseconds: the wait for a slot, the risk of a failure
 * weighted by what a failure costs this request, the distance and the warm-up. Requests that may be
 * retried also probe targets without a recent outcome, so that requests that may not be retried
 * find targets that have recently been healthy. Where a service gets too few of the former, some of
 * the latter also probe.
 *
 * The load of a target is known only as of 80 to 250 ms ago. If all VMs chose the best of many
 * targets, they would all choose the same few in that time and overload them. Each request therefore
 * considers a random sample of the targets.
 */

import type * as model from "@hemlockwalk/model";

/** The state of one candidate at the time of the choice. */
export interface Candidate {
  readonly id: model.TargetId;
  readonly slots: number;
  /** Requests of all VMs that run there, as far as this VM knows. */
  readonly load: number;
  /** Probability that it is failing. */
  readonly failureProbability: number;
  /** Time since this VM recorded the latest outcome of any VM's call, in milliseconds. */
  readonly sinceLastOutcomeMilliseconds: number;
  /** Time since the moment to which that outcome applies, in milliseconds. At least the former. */
  readonly evidenceAgeMilliseconds: number;
  /** Ratio of its processing time to the service's mean. */
  readonly relativeProcessingTime: number;
  /** Whether this VM recently failed to connect to it. */
  readonly isUnreachable: boolean;
  readonly isRemote: boolean;
  /** Remaining warm-up time, in milliseconds. */
  readonly warmUpMilliseconds: number;
  /** Whether the requests during its warm-up are limited to a rate that it can handle. */
  readonly isColdRateLimited?: boolean;
}

/** What the choice of a target depends on in a request. */
export interface PlacementRequest {
  /** Whether the request may be retried after a failure. */
  readonly mayRetry: boolean;
  readonly objectiveMilliseconds: number;
  /** Mean processing time of such requests, in milliseconds. */
  readonly meanProcessingMilliseconds: number;
  /** Requests that may wait at a target beyond its slots. */
  readonly allowedOverflow: number;
}

/** Cost of a failure that cannot be retried, in objectives. */
const FAILURE_COST_IN_OBJECTIVES = 4;

/**
 * Cost of a target whose slots are all in use, before any wait, in mean processing times. Targets
 * slow down when nearly full.
 */
const UTILIZATION_WEIGHT = 0.25;

/**
 * Cost of a target in another data centre, in objectives. Traffic between data centres is charged.
 */
const REMOTE_COST_IN_OBJECTIVES = 0.25;

/** Cost of a target that this VM could not connect to, in objectives. Exceeds every other cost. */
const UNREACHABLE_COST_IN_OBJECTIVES = 10;

/**
 * Additional cost during the warm-up, in processing times: requests take about twice as long then.
 * Where a rate protects the cold targets, the cost falls as the warm ones run out of free slots.
 * Otherwise cold targets would get requests only once every warm target was overloaded.
 */
const WARM_UP_WEIGHT = 1;

/**
 * Most targets of the own data centre, and of all others, that a request considers. Fewer may all be
 * failing, and with more of them VMs with the same reports choose the same target.
 */
const SAMPLE_SIZE = 12;

/** Targets are probed once they have been without an outcome for this long. */
const PROBE_AFTER_MILLISECONDS = 500;

/** Share of the retryable requests that probe such a target if there is one. */
const PROBE_SHARE = 0.5;

/**
 * Targets without an outcome for this long are probed first, by a larger share of the requests.
 * Most healthy targets of a service are to get a request within two seconds, even where few targets
 * would suffice for the load.
 */
const OVERDUE_MILLISECONDS = 900;
const OVERDUE_SHARE = 0.9;

/**
 * Targets of another data centre are probed after this many times the time of local ones: by then
 * the VMs of their own data centre would have done so.
 */
const REMOTE_PROBE_FACTOR = 1.6;

/** Targets whose latest evidence is this old are also probed first, whether idle or not. */
const STALE_EVIDENCE_MILLISECONDS = 1_200;

/**
 * After this time without an outcome, this share of the non-retryable requests probes the target
 * too.
 */
const NON_RETRYABLE_PROBE_AFTER_MILLISECONDS = 1_200;
const NON_RETRYABLE_PROBE_SHARE = 0.5;

/**
 * Non-retryable requests do not probe targets that are more likely to be failing than one without
 * any evidence.
 */
const MAX_NON_RETRYABLE_PROBE_FAILURE_PROBABILITY = 0.3;

/** Retryable requests probe targets with at least this probability of failing. */
const MIN_PROBE_FAILURE_PROBABILITY = 0.12;

/** The terms of a candidate's cost, in milliseconds. Their sum in this order is the cost. */
export interface CostTerms {
  readonly wait: number;
  readonly processing: number;
  readonly utilization: number;
  readonly failure: number;
  readonly warmUp: number;
  readonly distance: number;
  readonly unreachable: number;
}

/** Called with each candidate whose cost was considered, and the noise drawn for it. */
export type CostListener = (candidate: Candidate, noiseMilliseconds: number) => void;

/** The chosen candidate, or why there is none. */
export type Choice =
  | { readonly kind: "chosen"; readonly candidate: Candidate; readonly isProbe: boolean }
  | { readonly kind: "full" }
  | { readonly kind: "none" };

/** Chooses among the candidates; `random` returns numbers from 0 to 1. */
export function chooseTarget(
  candidates: readonly Candidate[],
  request: PlacementRequest,
  random: () => number = Math.random,
  onCost?: CostListener,
): Choice {
  if (candidates.length === 0) {
    return { kind: "none" };
  }
  const probed = request.mayRetry
    ? findProbeTarget(candidates, random)
    : findNonRetryableProbeTarget(candidates, random);
  if (probed !== undefined) {
    return { kind: "chosen", candidate: probed, isProbe: true };
  }
  const freeShare = getWarmFreeShare(candidates);
  let best: Candidate | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  const free = candidates.filter((candidate) => hasRoom(candidate, request));
  for (const candidate of drawSample(free, random)) {
    // Random noise prevents VMs with the same information from choosing the same target at once.
    const noise = random() * UTILIZATION_WEIGHT * request.meanProcessingMilliseconds /
      Math.max(candidate.slots, 1);
    const cost = getCost(candidate, request, freeShare) + noise;
    onCost?.(candidate, noise);
    if (cost < bestCost) {
      best = candidate;
      bestCost = cost;
    }
  }
  return best === undefined
    ? { kind: "full" }
    : { kind: "chosen", candidate: best, isProbe: false };
}

/** Whether a candidate can take a request, in a slot or within the allowed overflow. */
export function hasRoom(candidate: Candidate, request: PlacementRequest): boolean {
  return candidate.load < candidate.slots + request.allowedOverflow;
}

/**
 * Cost of a candidate in milliseconds.
 *
 * @param warmFreeShare Share of the slots of the warm candidates that are free, from 0 to 1.
 * @param onTerms Called with the terms of the cost. Without it, no object is created for them.
 */
export function getCost(
  candidate: Candidate,
  request: PlacementRequest,
  warmFreeShare = 1,
  onTerms?: (terms: CostTerms) => void,
): number {
  const slots = Math.max(candidate.slots, 1);
  const processingTime = request.meanProcessingMilliseconds * candidate.relativeProcessingTime;
  const wait = Math.max(0, candidate.load + 1 - slots) / slots * processingTime;
  const processing = processingTime - request.meanProcessingMilliseconds;
  const usedShare = candidate.load / slots;
  const utilization = usedShare * usedShare * UTILIZATION_WEIGHT * processingTime;
  const failureCost = request.mayRetry
    ? request.meanProcessingMilliseconds + request.objectiveMilliseconds / 4
    : request.objectiveMilliseconds * FAILURE_COST_IN_OBJECTIVES;
  const failure = candidate.failureProbability * failureCost;
  const warmUpWeight = WARM_UP_WEIGHT * (candidate.isColdRateLimited === true ? warmFreeShare : 1);
  const warmUp = candidate.warmUpMilliseconds > 0 ? warmUpWeight * processingTime : 0;
  const distance = candidate.isRemote
    ? REMOTE_COST_IN_OBJECTIVES * request.objectiveMilliseconds
    : 0;
  const unreachable = candidate.isUnreachable
    ? UNREACHABLE_COST_IN_OBJECTIVES * request.objectiveMilliseconds
    : 0;
  if (onTerms !== undefined) {
    reportTerms(onTerms, wait, processing, utilization, failure, warmUp, distance, unreachable);
  }
  return wait + processing + utilization + failure + warmUp + distance + unreachable;
}

/** Reports the terms of a cost. Kept out of `getCost`, which is faster without the object literal. */
function reportTerms(
  onTerms: (terms: CostTerms) => void,
  wait: number,
  processing: number,
  utilization: number,
  failure: number,
  warmUp: number,
  distance: number,
  unreachable: number,
): void {
  onTerms({ wait, processing, utilization, failure, warmUp, distance, unreachable });
}

/** Share of the slots of the candidates without a warm-up that are free, from 0 to 1. */
export function getWarmFreeShare(candidates: readonly Candidate[]): number {
  let slots = 0;
  let free = 0;
  for (const candidate of candidates) {
    if (candidate.warmUpMilliseconds === 0) {
      slots += candidate.slots;
      free += Math.max(0, candidate.slots - candidate.load);
    }
  }
  return slots === 0 ? 0 : free / slots;
}

/**
 * Draws a sample for each of the own data centre and the others; few targets are all considered.
 * Targets that are probably failing are part of it: without them the load would again fall on the
 * few others, which would shed it and be suspected in turn.
 */
function drawSample(
  candidates: readonly Candidate[],
  random: () => number,
): readonly Candidate[] {
  const own: Candidate[] = [];
  const others: Candidate[] = [];
  for (const candidate of candidates) {
    if (!candidate.isUnreachable) {
      (candidate.isRemote ? others : own).push(candidate);
    }
  }
  if (own.length <= SAMPLE_SIZE && others.length <= SAMPLE_SIZE) {
    return candidates;
  }
  const sample: Candidate[] = [];
  addRandomMembers(sample, own, random);
  addRandomMembers(sample, others, random);
  return sample;
}

/** Adds members of a group to a sample, each at most once, without changing the group. */
function addRandomMembers(
  sample: Candidate[],
  group: readonly Candidate[],
  random: () => number,
): void {
  const size = Math.min(SAMPLE_SIZE, group.length);
  /** Positions drawn so far, in ascending order. */
  const drawn: number[] = [];
  while (drawn.length < size) {
    // The draw is a position among the members that are not in the sample yet.
    let position = Math.floor(random() * (group.length - drawn.length));
    let rank = 0;
    for (; rank < drawn.length && (drawn[rank] ?? 0) <= position; rank++) {
      position++;
    }
    drawn.push(position);
    for (let index = drawn.length - 1; index > rank; index--) {
      drawn[index] = drawn[index - 1] ?? 0;
    }
    drawn[rank] = position;
    const candidate = group[position];
    if (candidate !== undefined) {
      sample.push(candidate);
    }
  }
}

/** Returns the target that a retryable request is to probe, if any. */
function findProbeTarget(
  candidates: readonly Candidate[],
  random: () => number,
): Candidate | undefined {
  const overdue = candidates.filter(isOverdue);
  if (overdue.length > 0) {
    return random() < OVERDUE_SHARE ? drawLongestWithoutOutcome(overdue, random) : undefined;
  }
  if (random() >= PROBE_SHARE) {
    return undefined;
  }
  const stale = candidates.filter((candidate) =>
    candidate.failureProbability >= MIN_PROBE_FAILURE_PROBABILITY &&
    isIdleWithoutOutcome(candidate, PROBE_AFTER_MILLISECONDS)
  );
  return drawLongestWithoutOutcome(stale, random);
}

/** Returns the target that a non-retryable request is to probe, if any. */
function findNonRetryableProbeTarget(
  candidates: readonly Candidate[],
  random: () => number,
): Candidate | undefined {
  if (random() >= NON_RETRYABLE_PROBE_SHARE) {
    return undefined;
  }
  const stale = candidates.filter((candidate) =>
    candidate.failureProbability <= MAX_NON_RETRYABLE_PROBE_FAILURE_PROBABILITY &&
    isIdleWithoutOutcome(candidate, NON_RETRYABLE_PROBE_AFTER_MILLISECONDS)
  );
  return drawLongestWithoutOutcome(stale, random);
}

function isIdleWithoutOutcome(candidate: Candidate, milliseconds: number): boolean {
  return candidate.load === 0 && !candidate.isUnreachable &&
    candidate.sinceLastOutcomeMilliseconds >= milliseconds * getProbeFactor(candidate);
}

function getProbeFactor(candidate: Candidate): number {
  return candidate.isRemote ? REMOTE_PROBE_FACTOR : 1;
}

/**
 * A call that began long ago is no evidence of the present state, even if it still runs or has just
 * ended.
 */
function isOverdue(candidate: Candidate): boolean {
  const isEvidenceStale = candidate.evidenceAgeMilliseconds >=
      STALE_EVIDENCE_MILLISECONDS * getProbeFactor(candidate) &&
    candidate.load < candidate.slots && !candidate.isUnreachable;
  return candidate.failureProbability >= MIN_PROBE_FAILURE_PROBABILITY &&
    (isEvidenceStale || isIdleWithoutOutcome(candidate, OVERDUE_MILLISECONDS));
}

/**
 * Draws two targets at random and returns the one whose latest outcome is older. Always returning
 * the oldest would make all VMs probe the same target until one of them has reported an outcome; a
 * single draw leaves some targets without a probe for too long.
 */
function drawLongestWithoutOutcome(
  candidates: readonly Candidate[],
  random: () => number,
): Candidate | undefined {
  const first = candidates[Math.floor(random() * candidates.length)];
  const second = candidates[Math.floor(random() * candidates.length)];
  const isSecond = first !== undefined && second !== undefined &&
    second.sinceLastOutcomeMilliseconds > first.sinceLastOutcomeMilliseconds;
  return isSecond ? second : first;
}
