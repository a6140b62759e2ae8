/**
 * How long a failing target went on receiving requests, seen from outside: from the requests and
 * connections that reached the targets.
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
 * @param attempts What reached the targets of the service.
 */
export function getDetectionMilliseconds(
  attempts: readonly types.AttemptRecord[],
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
    const inWindow = attempts.filter((attempt) =>
      attempt.startMilliseconds >= start && attempt.startMilliseconds < end
    );
    const own = inWindow.filter((attempt) => attempt.target === target).length;
    if (own < inWindow.length / targetCount * AVOIDED_SHARE) {
      return start - fromMilliseconds;
    }
  }
  return undefined;
}
