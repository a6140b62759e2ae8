/**
 * The better of two random targets, those in this VM's data centre first.
 *
 * Two random choices keep VMs that share an old view from all running to the same target. Load counts
 * first: this VM's own requests and what the other VMs last reported. Among little-loaded targets the
 * faster one is only more likely, so that a slow one goes on giving evidence, on which it is judged.
 */

import type * as model from "@hemlockwalk/model";
import * as kernel from "@hemlockwalk/kernel";
import type * as random from "./random.ts";
import type * as types from "./types.ts";

/** A near target that is busier than this share of its slots makes requests spill over. */
const SPILL_UTILISATION = 0.7;

/** Above this share of its slots a target's load alone decides. */
const BUSY_UTILISATION = 0.5;

/** Latencies count as this many times apart at the most. */
const LATENCY_RANGE = 9;

/** Shortest latency that is told from others. */
const LEAST_LATENCY_MILLISECONDS = 1;

/** Draws for a candidate that its readiness lets through. */
const MOST_DRAWS = 4;

/** Chooses the better of two. */
export class PowerOfTwoStrategy implements types.ChoiceStrategy {
  readonly #random: random.RandomSource;

  constructor(source: random.RandomSource) {
    this.#random = source;
  }

  choose(
    _service: model.ServiceId,
    candidates: readonly types.Candidate[],
  ): types.Candidate | undefined {
    const near = candidates.filter((candidate) => candidate.near);
    const chosen = this.#chooseAmong(near);
    if (chosen !== undefined && getUtilisation(chosen) <= SPILL_UTILISATION) {
      return chosen;
    }
    return this.#chooseAmong(candidates);
  }

  #chooseAmong(candidates: readonly types.Candidate[]): types.Candidate | undefined {
    if (candidates.length <= 1) {
      return candidates[0];
    }
    const first = this.#draw(candidates);
    const second = this.#draw(candidates.filter((candidate) => candidate !== first));
    const leftCost = getCost(first, second);
    const rightCost = getCost(second, first);
    const busy = Math.max(getUtilisation(first), getUtilisation(second)) > BUSY_UTILISATION;
    if (busy || first.running !== second.running) {
      return leftCost <= rightCost ? first : second;
    }
    return this.#random.next() * (leftCost + rightCost) < rightCost ? first : second;
  }

  #draw(candidates: readonly types.Candidate[]): types.Candidate {
    for (let draw = 1; draw < MOST_DRAWS; draw++) {
      const drawn = this.#random.pick(candidates);
      if (drawn !== undefined && this.#random.next() < drawn.readiness) {
        return drawn;
      }
    }
    return kernel.getDefined(this.#random.pick(candidates), "There are candidates.");
  }
}

/** Share of the target's slots that are taken once the request runs there. */
function getUtilisation(candidate: types.Candidate): number {
  return (getLoad(candidate) + 1) / (candidate.slots + 1);
}

function getLoad(candidate: types.Candidate): number {
  return candidate.running + candidate.peerLoad;
}

function getCost(candidate: types.Candidate, other: types.Candidate): number {
  const own = Math.max(candidate.latencyMilliseconds ?? 0, LEAST_LATENCY_MILLISECONDS);
  const others = Math.max(other.latencyMilliseconds ?? 0, LEAST_LATENCY_MILLISECONDS);
  const known = candidate.latencyMilliseconds !== undefined &&
    other.latencyMilliseconds !== undefined;
  const ratio = known ? Math.sqrt(own / others) : 1;
  const bounded = Math.min(Math.max(ratio, 1 / Math.sqrt(LATENCY_RANGE)), Math.sqrt(LATENCY_RANGE));
  return (getLoad(candidate) + 1) * bounded / candidate.readiness;
}
