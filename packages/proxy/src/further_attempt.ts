/**
 * Decides whether a request that may be repeated is sent to a further target while others still run
 * it without a response, and when that is considered.
 */

/** A target without a response for this many mean processing times counts as silent. */
const SILENT_AFTER_MEAN_TIMES = 4;

/** A further attempt needs at least this share of a mean processing time before the deadline. */
export const MIN_TIME_IN_MEAN_TIMES = 0.6;

/**
 * Bounds of the time after which a further attempt is considered again: slots and tokens change
 * within milliseconds, but not all requests of a VM may ask for them all the time.
 */
const MIN_REPEAT_MILLISECONDS = 100;
const MAX_REPEAT_MILLISECONDS = 1_000;

/**
 * A request that found no token before takes one only if more than this share of the service's retry
 * budget is left, since requests whose attempts have failed end without one.
 */
const RESERVED_RETRY_SHARE = 0.2;

/** Why no further attempt is started at present. The names appear in traces. */
export const FURTHER_OBSTACLES = [
  /** The body is not kept, so it cannot be sent again. */
  "not_buffered",
  /** The request is quarantined. */
  "quarantined",
  /** As many targets as the route allows have the request, or may have it. */
  "attempts_used",
  /** Less time is left than such a request takes. */
  "no_time",
  /** No other target may get the request now, or the VM stops before the request would end. */
  "no_target",
  /** The service's retry budget is used up. */
  "no_retry_left",
] as const;

export type FurtherObstacle = typeof FURTHER_OBSTACLES[number];

/** The state of a request when a further attempt is considered. */
export interface FurtherSituation {
  readonly isBuffered: boolean;
  readonly isQuarantined: boolean;
  /** Targets that may still get the request. */
  readonly attemptsLeft: number;
  readonly leftMilliseconds: number;
  readonly meanProcessingMilliseconds: number;
}

/** The first reason against a further attempt, whatever targets and tokens there are. */
export function findFurtherObstacle(situation: FurtherSituation): FurtherObstacle | undefined {
  const { leftMilliseconds, meanProcessingMilliseconds } = situation;
  if (!situation.isBuffered) {
    return "not_buffered";
  }
  if (situation.isQuarantined) {
    return "quarantined";
  }
  if (situation.attemptsLeft < 1) {
    return "attempts_used";
  }
  return leftMilliseconds < meanProcessingMilliseconds * MIN_TIME_IN_MEAN_TIMES
    ? "no_time"
    : undefined;
}

/**
 * Whether a token of the retry budget may be taken for a request that others still run.
 *
 * @param hasLackedRetry Whether the request has found no token before.
 * @param retryLevel Share of the service's retry budget that is left, from 0 to 1.
 */
export function mayTakeRetry(hasLackedRetry: boolean, retryLevel: number): boolean {
  return !hasLackedRetry || retryLevel > RESERVED_RETRY_SHARE;
}

/** Time after which a target without a response counts as silent, in milliseconds. */
export function getSilenceDelay(meanProcessingMilliseconds: number): number {
  return meanProcessingMilliseconds * SILENT_AFTER_MEAN_TIMES;
}

/** Time after which a further attempt is considered again, in milliseconds. */
export function getRepeatDelay(meanProcessingMilliseconds: number): number {
  return Math.min(
    Math.max(meanProcessingMilliseconds, MIN_REPEAT_MILLISECONDS),
    MAX_REPEAT_MILLISECONDS,
  );
}
