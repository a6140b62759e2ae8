/**
 * Decides whether a VM is cut off from all targets.
 *
 * Designed for a VM whose path to every target is gone while callers and the other VMs still reach
 * it: connections hang, or are refused, and no target is at fault. A few targets that cannot be
 * reached one after another, without a connection to any other, are enough, since targets are down
 * one by one and a healthy VM reaches most of them.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";

/** Targets that could not be reached, none reached since, from which a VM counts as isolated. */
const MIN_FAILED_TARGETS = 3;

/** Time after which a failed connection is no longer evidence. */
const FAILURE_RETENTION_MILLISECONDS = 3_000;

/** Targets in a row that must be reached before an isolated VM uses its own path again. */
const MIN_REACHED_TARGETS = 2;

/** What this VM knows of its path to the targets. */
export class IsolationEstimate {
  /** Targets that could not be reached since the last connection, with the time of the failure. */
  readonly #failedAt = new Map<model.TargetId, number>();
  readonly #reached = new Set<model.TargetId>();
  #isIsolated = false;

  get isIsolated(): boolean {
    return this.#isIsolated;
  }

  /**
   * Records a connection to a target.
   *
   * @param known Number of known targets, which may be few.
   */
  recordConnected(target: model.TargetId, known: number): void {
    if (!this.#isIsolated) {
      this.#failedAt.clear();
      return;
    }
    this.#reached.add(target);
    if (this.#reached.size >= Math.min(MIN_REACHED_TARGETS, known)) {
      this.#isIsolated = false;
      this.#reached.clear();
      this.#failedAt.clear();
    }
  }

  /** Records that a target could not be reached. `known` as above. */
  recordFailed(target: model.TargetId, known: number): void {
    const now = kernel.getMonotonicMilliseconds();
    this.#reached.clear();
    this.#failedAt.set(target, now);
    for (const [failed, at] of this.#failedAt) {
      if (at < now - FAILURE_RETENTION_MILLISECONDS) {
        this.#failedAt.delete(failed);
      }
    }
    this.#isIsolated ||= this.#failedAt.size >= Math.min(MIN_FAILED_TARGETS, known);
  }
}

/**
 * Draws targets for test connections, other than the excluded one.
 *
 * @param random Returns numbers from 0 to 1.
 */
export function drawTestTargets(
  targets: readonly model.TargetId[],
  excluded: model.TargetId | undefined,
  count: number,
  random: () => number = Math.random,
): model.TargetId[] {
  const left = targets.filter((target) => target !== excluded);
  const drawn: model.TargetId[] = [];
  while (drawn.length < count && left.length > 0) {
    drawn.push(...left.splice(Math.floor(random() * left.length), 1));
  }
  return drawn;
}
