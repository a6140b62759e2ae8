/**
 * Chooses the target of a request.
 *
 * Load that this answers: few slots for each target, shared by all VMs, and up to a third of the
 * targets in a bad spell at any moment. Every candidate has a cost in milliseconds: the wait for a
 * slot, the risk of a failure in terms of what a failure costs this request, distance and warm-up.
 * Requests that may be repeated also look after targets of which nothing was heard for a while, so
 * that those that may not find targets that have lately proved well. Where a service has too few of
 * the former, some of the latter do so too.
 */

import type * as model from "@hemlockwalk/model";

/** What is known of one candidate at the moment of the choice. */
export interface Candidate {
  readonly id: model.TargetId;
  readonly slots: number;
  /** Requests that all VMs together have there, as far as known. */
  readonly load: number;
  /** Probability that it is in a bad spell. */
  readonly sickness: number;
  /** Time since the latest outcome of any VM was heard of, in milliseconds. */
  readonly unobservedMilliseconds: number;
  /** Time since the moment of which that outcome speaks, in milliseconds. At least the former. */
  readonly evidenceAgeMilliseconds: number;
  /** Work time there against the service's mean. */
  readonly slowness: number;
  /** Whether this VM failed to reach it lately. */
  readonly isUnreachable: boolean;
  readonly isRemote: boolean;
  /** What is left of its warm-up, in milliseconds. */
  readonly warmUpMilliseconds: number;
}

/** What a request needs of a target. */
export interface PlacementNeed {
  /** Whether a failure may be answered by another try. */
  readonly mayRetry: boolean;
  readonly objectiveMilliseconds: number;
  /** Mean work time of such requests, in milliseconds. */
  readonly typicalMilliseconds: number;
  /** Requests that may wait at a target beyond its slots. */
  readonly allowedOverflow: number;
}

/** A failure that cannot be repaired costs this many objectives. */
const LOSS_IN_OBJECTIVES = 4;

/** Cost of full slots, before any wait, in mean work times. Targets slow down when nearly full. */
const CROWDING_WEIGHT = 0.25;

/** Cost of another data centre, in objectives. Its bytes are paid for. */
const REMOTE_IN_OBJECTIVES = 0.06;

/** Cost of a target that this VM could not reach, in objectives. Above every other cost. */
const UNREACHABLE_IN_OBJECTIVES = 10;

/** Work takes about twice as long during the warm-up. */
const WARM_UP_WEIGHT = 1;

/** Targets are looked after when nothing was heard of them for so long. */
const LOOK_AFTER_MILLISECONDS = 500;

/** Share of repeatable requests that look after such a target where there is one. */
const LOOK_AFTER_SHARE = 0.5;

/**
 * Targets of which nobody has heard for so long come first, with a larger share. Most sound targets
 * of a service are to get a request within two seconds, also where few would do.
 */
const OVERDUE_MILLISECONDS = 900;
const OVERDUE_SHARE = 0.9;

/** So do those whose latest outcome speaks of a moment so long ago, idle or not. */
const OUTDATED_MILLISECONDS = 1_200;

/** After so long, requests that may not be repeated look after a target too, in this share. */
const NEGLECTED_MILLISECONDS = 1_200;
const NEGLECTED_SHARE = 0.5;

/** They pass over targets that are likelier to be in a spell than one that nobody knows. */
const MAX_NEGLECTED_SICKNESS = 0.3;

/** A target at least this likely in a spell is worth looking after. */
const DOUBTFUL_SICKNESS = 0.12;

/** The chosen candidate, or why there is none. */
export type Choice =
  | { readonly kind: "chosen"; readonly candidate: Candidate; readonly isLookAfter: boolean }
  | { readonly kind: "full" }
  | { readonly kind: "none" };

/** Chooses among the candidates; `random` returns numbers from 0 to 1. */
export function chooseTarget(
  candidates: readonly Candidate[],
  need: PlacementNeed,
  random: () => number = Math.random,
): Choice {
  if (candidates.length === 0) {
    return { kind: "none" };
  }
  const lookedAfter = need.mayRetry
    ? findDoubtful(candidates, random)
    : findNeglected(candidates, random);
  if (lookedAfter !== undefined) {
    return { kind: "chosen", candidate: lookedAfter, isLookAfter: true };
  }
  let best: Candidate | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    if (candidate.load >= candidate.slots + need.allowedOverflow) {
      continue;
    }
    // A little noise keeps VMs with equal knowledge from choosing the same target at once.
    const cost = getCost(candidate, need) + random() * CROWDING_WEIGHT * need.typicalMilliseconds /
        Math.max(candidate.slots, 1);
    if (cost < bestCost) {
      best = candidate;
      bestCost = cost;
    }
  }
  return best === undefined
    ? { kind: "full" }
    : { kind: "chosen", candidate: best, isLookAfter: false };
}

/** Cost of a candidate in milliseconds. */
export function getCost(candidate: Candidate, need: PlacementNeed): number {
  const slots = Math.max(candidate.slots, 1);
  const typical = need.typicalMilliseconds * candidate.slowness;
  const wait = Math.max(0, candidate.load + 1 - slots) / slots * typical;
  const fill = candidate.load / slots;
  const loss = need.mayRetry
    ? need.typicalMilliseconds + need.objectiveMilliseconds / 4
    : need.objectiveMilliseconds * LOSS_IN_OBJECTIVES;
  const warmUp = candidate.warmUpMilliseconds > 0 ? WARM_UP_WEIGHT * typical : 0;
  return wait + (typical - need.typicalMilliseconds) + fill * fill * CROWDING_WEIGHT * typical +
    candidate.sickness * loss + warmUp +
    (candidate.isRemote ? REMOTE_IN_OBJECTIVES * need.objectiveMilliseconds : 0) +
    (candidate.isUnreachable ? UNREACHABLE_IN_OBJECTIVES * need.objectiveMilliseconds : 0);
}

/** The target that a repeatable request looks after, if it does. */
function findDoubtful(
  candidates: readonly Candidate[],
  random: () => number,
): Candidate | undefined {
  const doubtful = candidates.filter((candidate) =>
    candidate.sickness >= DOUBTFUL_SICKNESS && isUnheard(candidate, LOOK_AFTER_MILLISECONDS)
  );
  const overdue = candidates.filter(isOverdue);
  if (overdue.length > 0) {
    return random() < OVERDUE_SHARE ? draw(overdue, random) : undefined;
  }
  return random() < LOOK_AFTER_SHARE ? draw(doubtful, random) : undefined;
}

/** The target that a request which may not be repeated looks after, if it does. */
function findNeglected(
  candidates: readonly Candidate[],
  random: () => number,
): Candidate | undefined {
  if (random() >= NEGLECTED_SHARE) {
    return undefined;
  }
  const neglected = candidates.filter((candidate) =>
    candidate.sickness <= MAX_NEGLECTED_SICKNESS && isUnheard(candidate, NEGLECTED_MILLISECONDS)
  );
  return draw(neglected, random);
}

function isUnheard(candidate: Candidate, milliseconds: number): boolean {
  return candidate.load === 0 && !candidate.isUnreachable &&
    candidate.unobservedMilliseconds >= milliseconds;
}

/** A call that began long ago says nothing of the present, also while it runs or has just ended. */
function isOverdue(candidate: Candidate): boolean {
  const isOutdated = candidate.evidenceAgeMilliseconds >= OUTDATED_MILLISECONDS &&
    candidate.load < candidate.slots && !candidate.isUnreachable;
  return candidate.sickness >= DOUBTFUL_SICKNESS &&
    (isOutdated || isUnheard(candidate, OVERDUE_MILLISECONDS));
}

/**
 * Draws two and takes the one that was unheard of for longer. Always taking the longest would send
 * all VMs to the same target until one has told of it; a single draw passes over some for too long.
 */
function draw(candidates: readonly Candidate[], random: () => number): Candidate | undefined {
  const first = candidates[Math.floor(random() * candidates.length)];
  const second = candidates[Math.floor(random() * candidates.length)];
  const isSecond = first !== undefined && second !== undefined &&
    second.unobservedMilliseconds > first.unobservedMilliseconds;
  return isSecond ? second : first;
}
