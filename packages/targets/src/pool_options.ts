/**
 * What varies between pools: the strategy, the probe, and the guards that tests switch off.
 */

import type * as types from "./types.ts";

/** Guards of the pool. All are on, but in the tests that show that their checks notice. */
export interface Guards {
  readonly floor: boolean;
  readonly selfSuspicion: boolean;
  readonly pathCheck: boolean;
  readonly verdictExpiry: boolean;
}

/** All guards on. */
export const ALL_GUARDS: Guards = {
  floor: true,
  selfSuspicion: true,
  pathCheck: true,
  verdictExpiry: true,
};

/** What a pool may be created with. */
export interface PoolOptions {
  readonly strategy?: types.ChoiceStrategy | undefined;
  /** Whether sick targets are detected and ejected; the baselines do without. */
  readonly detection?: boolean | undefined;
  readonly probe?: types.Probe | undefined;
  readonly guards?: Guards | undefined;
  /** Seed of the pool's random numbers. */
  readonly seed?: number | undefined;
}
