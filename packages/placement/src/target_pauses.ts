/**
 * Pauses that targets request of this VM.
 *
 * Designed for targets under more load than they accept: a target that rejects a request may state
 * for how long it wants no request from this VM. Until then it is no candidate for any request, a
 * retry or a probe included.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as decimals from "./decimal.ts";

/** Longest pause that is kept; a longer one is taken for a mistake of the target. */
export const MAX_PAUSE_MILLISECONDS = 3_600_000;

/** A pause as requested by a target. */
export type RequestedPause =
  | { readonly kind: "pause"; readonly milliseconds: number; readonly isShortened: boolean }
  /** The text is not a number of seconds, or not a positive one. */
  | { readonly kind: "invalid" };

/** Parses a number of seconds, which may have a fraction. */
export function parsePause(text: string): RequestedPause {
  const seconds = decimals.parseDecimal(text) ?? 0;
  if (seconds === 0) {
    return { kind: "invalid" };
  }
  const milliseconds = Math.min(seconds * 1_000, MAX_PAUSE_MILLISECONDS);
  return { kind: "pause", milliseconds, isShortened: milliseconds < seconds * 1_000 };
}

/** The targets that want no request from this VM at present. */
export class TargetPauses {
  /** Monotonic time at which the pause of a target ends, in milliseconds. */
  readonly #endsAt = new Map<model.TargetId, number>();

  /** Starts a pause, unless a longer one is in force. */
  start(target: model.TargetId, milliseconds: number): void {
    const endsAt = kernel.getMonotonicMilliseconds() + milliseconds;
    this.#endsAt.set(target, Math.max(endsAt, this.#endsAt.get(target) ?? endsAt));
  }

  /** Time until a target accepts requests again, in milliseconds; 0 if it does now. */
  getRemaining(target: model.TargetId): number {
    const endsAt = this.#endsAt.get(target);
    if (endsAt === undefined) {
      return 0;
    }
    const remaining = endsAt - kernel.getMonotonicMilliseconds();
    if (remaining <= 0) {
      this.#endsAt.delete(target);
      return 0;
    }
    return remaining;
  }

  /** Discards the pause of a target that is gone or was replaced by another process. */
  removeTarget(target: model.TargetId): void {
    this.#endsAt.delete(target);
  }
}

/** Time until a target that accepts no request from this VM now will accept one. */
export interface TargetWait {
  /** Infinity if it is not foreseeable. */
  readonly milliseconds: number;
  /** Whether the target has requested a pause; otherwise its rate is used up. */
  readonly isPause: boolean;
}

/** When a target will accept requests of this VM, one after another. */
export interface TargetSchedule extends TargetWait {
  /** Requests per second that it accepts from then on. */
  readonly requestsPerSecond: number;
  /** Time after which it accepts any number of requests; infinity if it is not foreseeable. */
  readonly unlimitedAfterMilliseconds: number;
}

/**
 * Finds when targets that accept no request now will accept the next one beyond those that wait for
 * them already; undefined if there are no targets.
 */
export function findWait(
  schedules: readonly TargetSchedule[],
  ahead: number,
): TargetWait | undefined {
  const next = schedules.map((schedule) => ({ ...schedule }));
  const findFirst = () =>
    next.reduce<typeof next[number] | undefined>(
      (first, one) => first === undefined || one.milliseconds < first.milliseconds ? one : first,
      undefined,
    );
  for (let taken = 0; taken < ahead; taken++) {
    const first = findFirst();
    if (first === undefined || first.milliseconds >= first.unlimitedAfterMilliseconds) {
      break;
    }
    const interval = first.requestsPerSecond === 0
      ? Number.POSITIVE_INFINITY
      : 1_000 / first.requestsPerSecond;
    first.milliseconds = Math.min(first.milliseconds + interval, first.unlimitedAfterMilliseconds);
  }
  const found = findFirst();
  return found === undefined
    ? undefined
    : { milliseconds: found.milliseconds, isPause: found.isPause };
}

/** What happens to a request while no target that it may still use accepts one. */
export type WaitDecision = "wait" | "refuse";

/**
 * Decides about a request while every target that it may still use is paused or its rate is used
 * up: the request waits if one of them accepts it in time, and is otherwise refused at once.
 *
 * @param shortestWait Time until the first of the targets accepts requests, in milliseconds.
 * @param maxWait Time for which the request may wait, in milliseconds.
 */
export function decideWithoutTarget(shortestWait: number, maxWait: number): WaitDecision {
  return shortestWait <= maxWait ? "wait" : "refuse";
}
