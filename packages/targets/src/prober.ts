/**
 * Probes targets that are out of use, at a limited rate. A success only lets the trial requests
 * begin earlier; a failure has no effect.
 */

import type * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import type * as poolMetrics from "./pool_metrics.ts";
import type * as types from "./types.ts";

/** Maximum rate of the probes that this VM sends. */
const MAXIMUM_PROBES_PER_SECOND = 2;
const MILLISECONDS_PER_SECOND = 1_000;

/** Shortest time between two probes of one target by this VM. */
const TARGET_GAP_MILLISECONDS = 2_000;

/** Probes targets at a limited rate. */
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

  /** Probes a target if the rate limits allow it, and calls `onSuccess` if it is healthy. */
  probeIfAllowed(target: model.Target, nowMilliseconds: number, onSuccess: () => void): void {
    const probedAt = this.#probedAt.get(target.id) ?? Number.NEGATIVE_INFINITY;
    if (nowMilliseconds < this.#nextAt || nowMilliseconds - probedAt < TARGET_GAP_MILLISECONDS) {
      return;
    }
    this.#nextAt = nowMilliseconds + MILLISECONDS_PER_SECOND / MAXIMUM_PROBES_PER_SECOND;
    this.#probedAt.set(target.id, nowMilliseconds);
    void this.#check(target, onSuccess);
  }

  /** Removes targets that are no longer declared. */
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
    const healthy = await this.#probe.check(target, this.#stopping.signal);
    this.#metrics.probes.inc({ result: healthy ? "well" : "failed" });
    if (healthy && !this.#stopping.signal.aborted) {
      onSuccess();
    }
  }
}
