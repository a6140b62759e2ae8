/**
 * Measures how long a failing target kept receiving requests. The measurement uses only the
 * requests and connections that reached the targets, not the state of the VMs.
 */

import type * as types from "../types.ts";

/** A target counts as avoided if it receives less than this fraction of its fair share. */
const AVOIDED_SHARE = 0.25;

const WINDOW_MILLISECONDS = 1_000;
const STEP_MILLISECONDS = 100;

/**
 * Returns the time from the start of a fault to the start of the first window in which the target
 * was avoided; undefined if there is none.
 *
 * @param attempts Requests and connections that reached the targets of the service.
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
    const windowAttempts = attempts.filter((attempt) =>
      attempt.startMilliseconds >= start && attempt.startMilliseconds < end
    );
    const targetAttempts = windowAttempts.filter((attempt) => attempt.target === target).length;
    if (targetAttempts < windowAttempts.length / targetCount * AVOIDED_SHARE) {
      return start - fromMilliseconds;
    }
  }
  return undefined;
}
