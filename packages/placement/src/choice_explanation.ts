/**
 * Explains the choice of a target: the choice itself, with the cost of every candidate by term and
 * what was drawn at random.
 *
 * The choice and the costs are those of `chooser.ts`, with the same draws in the same order, so that
 * a request with the same random numbers gets the same target.
 */

import * as chooser from "./chooser.ts";

/** A candidate with its cost. */
export interface ExplainedCandidate {
  readonly candidate: chooser.Candidate;
  readonly costMilliseconds: number;
  readonly terms: chooser.CostTerms;
  readonly hasRoom: boolean;
  /**
   * Noise that was drawn for it, in milliseconds; undefined if it has no room or was not in the
   * sample, or if a probe made the costs irrelevant.
   */
  readonly noiseMilliseconds: number | undefined;
}

/** A choice with what it depended on. */
export interface ExplainedChoice {
  readonly choice: chooser.Choice;
  /** All candidates, those of least cost first. */
  readonly candidates: readonly ExplainedCandidate[];
}

/** Chooses among the candidates as `chooseTarget` does, and explains the choice. */
export function explainChoice(
  candidates: readonly chooser.Candidate[],
  request: chooser.PlacementRequest,
  random: () => number = Math.random,
): ExplainedChoice {
  const noises = new Map<chooser.Candidate, number>();
  const choice = chooser.chooseTarget(
    candidates,
    request,
    random,
    (candidate, noise) => noises.set(candidate, noise),
  );
  const freeShare = chooser.getWarmFreeShare(candidates);
  const explained = candidates.map((candidate) => {
    let terms: chooser.CostTerms = NO_COST;
    const costMilliseconds = chooser.getCost(candidate, request, freeShare, (found) => {
      terms = found;
    });
    return {
      candidate,
      costMilliseconds,
      terms,
      hasRoom: chooser.hasRoom(candidate, request),
      noiseMilliseconds: noises.get(candidate),
    };
  });
  explained.sort((left, right) => left.costMilliseconds - right.costMilliseconds);
  return { choice, candidates: explained };
}

const NO_COST: chooser.CostTerms = {
  wait: 0,
  processing: 0,
  utilization: 0,
  failure: 0,
  warmUp: 0,
  distance: 0,
  unreachable: 0,
};
