/**
 * Chooses the better of two random targets, and prefers targets in this VM's data centre.
 *
 * The random choice prevents VMs with the same outdated view from all choosing the same target. The
 * cost of a target grows with its load (this VM's own requests and those last reported by the other
 * VMs) and its latency. Between two lightly loaded targets with equally many own requests, the
 * cheaper one is only more likely to be chosen, so that a slow target still receives enough calls
 * to be evaluated.
 */

import type * as model from "@hemlockwalk/model";
import * as kernel from "@hemlockwalk/kernel";
import type * as random from "./random.ts";
import type * as types from "./types.ts";

/** If the chosen near target is busier than this, targets of all data centres are considered. */
const SPILL_UTILISATION = 0.7;

/** Utilisation above which the cheaper target is always chosen. */
const BUSY_UTILISATION = 0.5;

/** Greater ratios between two latencies count as this one. */
const MAXIMUM_LATENCY_RATIO = 9;

/** Shorter latencies count as this one. */
const MINIMUM_LATENCY_MILLISECONDS = 1;

/** Draws of a candidate. Each accepts it with probability `readiness`, the last one always. */
const MAXIMUM_DRAWS = 4;

/** Chooses the better of two random candidates. */
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
    const firstCost = getCost(first, second);
    const secondCost = getCost(second, first);
    const busy = Math.max(getUtilisation(first), getUtilisation(second)) > BUSY_UTILISATION;
    if (busy || first.running !== second.running) {
      return firstCost <= secondCost ? first : second;
    }
    return this.#random.next() * (firstCost + secondCost) < secondCost ? first : second;
  }

  #draw(candidates: readonly types.Candidate[]): types.Candidate {
    for (let draw = 1; draw < MAXIMUM_DRAWS; draw++) {
      const drawn = this.#random.pick(candidates);
      if (drawn !== undefined && this.#random.next() < drawn.readiness) {
        return drawn;
      }
    }
    return kernel.getDefined(this.#random.pick(candidates), "There are candidates.");
  }
}

/** Share of the target's slots that are in use once the request runs on it. */
function getUtilisation(candidate: types.Candidate): number {
  return (getLoad(candidate) + 1) / (candidate.slots + 1);
}

function getLoad(candidate: types.Candidate): number {
  return candidate.running + candidate.peerLoad;
}

function getCost(candidate: types.Candidate, other: types.Candidate): number {
  const own = Math.max(candidate.latencyMilliseconds ?? 0, MINIMUM_LATENCY_MILLISECONDS);
  const others = Math.max(other.latencyMilliseconds ?? 0, MINIMUM_LATENCY_MILLISECONDS);
  const known = candidate.latencyMilliseconds !== undefined &&
    other.latencyMilliseconds !== undefined;
  const ratio = known ? Math.sqrt(own / others) : 1;
  const bounded = Math.min(
    Math.max(ratio, 1 / Math.sqrt(MAXIMUM_LATENCY_RATIO)),
    Math.sqrt(MAXIMUM_LATENCY_RATIO),
  );
  return (getLoad(candidate) + 1) * bounded / candidate.readiness;
}
