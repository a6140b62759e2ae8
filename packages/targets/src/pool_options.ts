/**
 * Options of a target pool: the strategy, the probe, and the guards that tests can disable.
 */

import type * as types from "./types.ts";

/** Guards of the pool. Only tests disable one, to verify that they detect its absence. */
export interface Guards {
  readonly floor: boolean;
  readonly localFaultDetection: boolean;
  readonly pathCheck: boolean;
  readonly verdictExpiry: boolean;
}

/** All guards enabled. */
export const ALL_GUARDS: Guards = {
  floor: true,
  localFaultDetection: true,
  pathCheck: true,
  verdictExpiry: true,
};

/** Options with which a pool is created. */
export interface PoolOptions {
  readonly strategy?: types.ChoiceStrategy | undefined;
  /** Whether failing targets are detected and ejected. The baselines run without detection. */
  readonly detection?: boolean | undefined;
  readonly probe?: types.Probe | undefined;
  readonly guards?: Guards | undefined;
  /** Seed of the pool's random numbers. */
  readonly seed?: number | undefined;
}
