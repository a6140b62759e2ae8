/**
 * Seed and number of runs of tests with random histories: fixed in continuous integration, given by
 * environment variables under `npm run fuzz`.
 */

import process from "node:process";
import * as kernel from "../mod.ts";

/** Parameters of fast-check. */
export interface RandomRuns {
  readonly seed: number;
  readonly numRuns: number;
  /** Whether a failing history is reported without a search for a shorter one. */
  readonly endOnFailure: boolean;
}

/** Returns the given values unless `HEMLOCKWALK_SEED` and `HEMLOCKWALK_RUNS` are set. */
export function getRandomRuns(seed: number, numRuns: number): RandomRuns {
  const { HEMLOCKWALK_SEED, HEMLOCKWALK_RUNS, HEMLOCKWALK_SHRINK } = process.env;
  if (HEMLOCKWALK_SEED === undefined || HEMLOCKWALK_RUNS === undefined) {
    return { seed, numRuns, endOnFailure: false };
  }
  const runs = {
    seed: Number(HEMLOCKWALK_SEED),
    numRuns: Number(HEMLOCKWALK_RUNS),
    endOnFailure: HEMLOCKWALK_SHRINK === undefined,
  };
  kernel.assert(
    Number.isInteger(runs.seed) && Number.isInteger(runs.numRuns) && runs.numRuns > 0,
    "HEMLOCKWALK_SEED must be an integer and HEMLOCKWALK_RUNS a positive integer.",
  );
  return runs;
}
