/**
 * The periods on which the safety of claims rests.
 */

import type * as configuration from "@hemlockwalk/configuration";

/** Periods in milliseconds. */
export interface ClaimTiming {
  /** A key is not granted again for at least so long after its last use. */
  readonly retention: number;
  /** Slot holders remember keys so long, if they live and have room. */
  readonly memory: number;
  /** Shortest lease on a slot. */
  readonly minLease: number;
  /** Longest lease on a slot. A VM that started votes only after this time. */
  readonly maxLease: number;
}

/** Periods of a fleet in service. */
export const DEFAULT_TIMING: ClaimTiming = {
  retention: 60_000,
  memory: 600_000,
  minLease: 10_000,
  maxLease: 30_000,
};

/** A claim is used within this time after the first slot was asked, or given back. */
export const DECISION_MILLISECONDS = 2_000;

/** For how long a slot must know of every grant of a key before it may grant the key again. */
export function getGuardedPeriod(timing: ClaimTiming): number {
  return (timing.retention + DECISION_MILLISECONDS) * (1 + CLOCK_DRIFT);
}

/** The periods for a retention that settings name. */
export function createTiming(retention: number): ClaimTiming {
  return { ...DEFAULT_TIMING, retention, memory: Math.max(DEFAULT_TIMING.memory, 2 * retention) };
}

/** Leases grow with the fleet, since a holder renews them at every VM. */
const LEASE_MILLISECONDS_PER_VM = 40;

/** Share by which the clocks of two VMs may run apart. */
export const CLOCK_DRIFT = 0.01;

/** Renewals that fit into one lease; one that fails is tried again at once. */
export const RENEWALS_PER_LEASE = 2;

/** The lease on a slot in a fleet of the given size. */
export function getLease(timing: ClaimTiming, snapshot: configuration.Snapshot): number {
  const wanted = snapshot.fleet.vmLimit * LEASE_MILLISECONDS_PER_VM;
  return Math.min(timing.maxLease, Math.max(timing.minLease, wanted));
}

/** Votes that make a VM the only holder of a slot. */
export function getFleetMajority(snapshot: configuration.Snapshot): number {
  return Math.floor(snapshot.fleet.vmLimit / 2) + 1;
}
