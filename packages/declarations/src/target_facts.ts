/**
 * What is known of an incarnation of a target beyond the current content of the store.
 *
 * Designed for a store that is restored from a backup some seconds old. The backup may hold targets
 * that have ended since, or list as ready a target that is draining. What was known then still
 * binds: it applies to entries of later eras until the target has reported again. A target's own
 * announcement that it leaves binds for the rest of its incarnation, whatever its entry says.
 *
 * Facts form a semilattice under `mergeFacts`, so that VMs may exchange them in any order and more
 * than once.
 */

import type * as model from "@hemlockwalk/model";
import type * as types from "./types.ts";

/** State of a target as far as it decides whether the target gets requests. */
export type TargetState = "ready" | "draining" | "ended";

/** The rate that a target accepts from all VMs together, as it has stated in a response. */
export interface StatedRate {
  /** Undefined once the target has stated none any more. */
  readonly requestsPerSecond: number | undefined;
  /** Number of changes up to this one. It orders what different VMs have heard. */
  readonly change: number;
}

/** The latest known state of one incarnation of a target. */
export interface TargetFact {
  readonly id: model.TargetId;
  /** Start of the incarnation in Unix milliseconds; 0 if it was not announced. */
  readonly startedAt: number;
  /** Number of its latest report; -1 if it was not announced. */
  readonly reportNumber: number;
  /** Era of the store in which the state was current. */
  readonly era: types.StoreEra;
  readonly state: TargetState;
  /** Whether the target has said in a response that it leaves. */
  readonly isLeaving: boolean;
  /** Undefined if the target has never stated a rate. */
  readonly rate?: StatedRate | undefined;
}

const STATE_ORDER: Readonly<Record<TargetState, number>> = { ready: 0, draining: 1, ended: 2 };

/** Creates the fact that an entry, or its removal, states about its incarnation. */
export function createFact(
  entry: types.TargetEntry,
  era: types.StoreEra,
  state: TargetState,
): TargetFact {
  return {
    id: entry.id,
    startedAt: entry.startedAt ?? 0,
    reportNumber: entry.reportNumber ?? -1,
    era,
    state,
    isLeaving: false,
  };
}

/** The state that an entry announces. */
export function getAnnouncedState(entry: types.TargetEntry): TargetState {
  return entry.isDraining ? "draining" : "ready";
}

/** Merges two facts about the same target: the later incarnation counts, then the later report. */
export function mergeFacts(left: TargetFact, right: TargetFact): TargetFact {
  const later = compareFacts(left, right) >= 0 ? left : right;
  if (left.startedAt !== right.startedAt) {
    return later;
  }
  const isLeaving = left.isLeaving || right.isLeaving;
  const rate = mergeRates(left.rate, right.rate);
  const isUnchanged = later.isLeaving === isLeaving && compareRates(later.rate, rate) === 0;
  return isUnchanged ? later : { ...later, isLeaving, ...(rate === undefined ? {} : { rate }) };
}

/** The later of two statements; of concurrent ones the lower rate, which the target may need. */
function mergeRates(
  left: StatedRate | undefined,
  right: StatedRate | undefined,
): StatedRate | undefined {
  return compareRates(left, right) >= 0 ? left : right;
}

function compareRates(left: StatedRate | undefined, right: StatedRate | undefined): number {
  const getRate = (rate: StatedRate | undefined) => rate?.requestsPerSecond ?? Number.MAX_VALUE;
  return (left?.change ?? 0) - (right?.change ?? 0) || getRate(right) - getRate(left);
}

/** The state of an entry of the store, given what is known of the target. */
export function getState(
  entry: types.TargetEntry,
  position: types.StorePosition,
  fact: TargetFact | undefined,
): TargetState {
  const announced = getAnnouncedState(entry);
  const startedAt = entry.startedAt ?? 0;
  if (fact === undefined || startedAt > fact.startedAt) {
    return announced;
  }
  const isFromLaterEra = position.era > fact.era;
  if (startedAt < fact.startedAt) {
    // Within an era, the order of the changes is known, and a clock may have been set back.
    return isFromLaterEra ? "ended" : announced;
  }
  const isOutdated = isFromLaterEra && (entry.reportNumber ?? -1) <= fact.reportNumber;
  const state = isOutdated ? fact.state : announced;
  return fact.isLeaving && state === "ready" ? "draining" : state;
}

/**
 * Total order of facts about the same target, apart from `isLeaving`. After the same report, the
 * state only advances: a backup holds an earlier one.
 */
function compareFacts(left: TargetFact, right: TargetFact): number {
  return left.startedAt - right.startedAt || left.reportNumber - right.reportNumber ||
    STATE_ORDER[left.state] - STATE_ORDER[right.state] || left.era - right.era;
}
