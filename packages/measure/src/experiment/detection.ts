/**
 * How long a failing target went on receiving requests, seen from outside: from the runs that the
 * targets counted.
 */

import type * as types from "../types.ts";

/** A target counts as avoided when it gets less than this share of its fair part. */
const AVOIDED_SHARE = 0.25;

const WINDOW_MILLISECONDS = 1_000;
const STEP_MILLISECONDS = 100;

/**
 * Milliseconds from the start of a fault until the target was avoided for a whole window; undefined
 * when it never was.
 *
 * @param runs Runs of the service's targets. A fault that keeps requests from running at all cannot
 *   be seen this way.
 */
export function getDetectionMilliseconds(
  runs: readonly types.RunRecord[],
  target: string,
  targetCount: number,
  fromMilliseconds: number,
  untilMilliseconds: number,
): number | undefined {
  for (
    let start = fromMilliseconds;
    start + WINDOW_MILLISECONDS <= untilMilliseconds;
    start += STEP_MILLISECONDS
  ) {
    const end = start + WINDOW_MILLISECONDS;
    const inWindow = runs.filter((run) =>
      run.startMilliseconds >= start && run.startMilliseconds < end
    );
    const own = inWindow.filter((run) => run.target === target).length;
    if (own < inWindow.length / targetCount * AVOIDED_SHARE) {
      return start - fromMilliseconds;
    }
  }
  return undefined;
}
