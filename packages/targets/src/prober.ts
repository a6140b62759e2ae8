/**
 * Probes targets that are out of use, within a budget. A success only brings the trial by real requests
 * forward; a failure changes nothing.
 */

import type * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import type * as poolMetrics from "./pool_metrics.ts";
import type * as types from "./types.ts";

/** Probes that this VM sends at the most. */
const BUDGET_FOR_SECOND = 2;
const MILLISECONDS_IN_SECOND = 1_000;

/** Shortest time between two probes of one target by this VM. */
const TARGET_GAP_MILLISECONDS = 2_000;

/** Sends probes. */
export class Prober implements kernel.Service {
  readonly #probe: types.Probe;
  readonly #metrics: poolMetrics.PoolMetrics;
  readonly #stopping = new AbortController();
  readonly #probedAt = new Map<model.TargetId, number>();
  #nextAt = 0;

  constructor(probe: types.Probe, metrics: poolMetrics.PoolMetrics) {
    this.#probe = probe;
    this.#metrics = metrics;
  }

  /** Probes a target when the budget allows it, and calls back when it is well. */
  offer(target: model.Target, nowMilliseconds: number, onSuccess: () => void): void {
    const probedAt = this.#probedAt.get(target.id) ?? Number.NEGATIVE_INFINITY;
    if (nowMilliseconds < this.#nextAt || nowMilliseconds - probedAt < TARGET_GAP_MILLISECONDS) {
      return;
    }
    this.#nextAt = nowMilliseconds + MILLISECONDS_IN_SECOND / BUDGET_FOR_SECOND;
    this.#probedAt.set(target.id, nowMilliseconds);
    void this.#check(target, onSuccess);
  }

  /** Forgets targets that are no longer declared. */
  retain(isDeclared: (target: model.TargetId) => boolean): void {
    for (const target of [...this.#probedAt.keys()]) {
      if (!isDeclared(target)) {
        this.#probedAt.delete(target);
      }
    }
  }

  stop(): void {
    this.#stopping.abort();
  }

  async #check(target: model.Target, onSuccess: () => void): Promise<void> {
    const well = await this.#probe.check(target, this.#stopping.signal);
    this.#metrics.probes.inc({ result: well ? "well" : "failed" });
    if (well && !this.#stopping.signal.aborted) {
      onSuccess();
    }
  }
}
