/**
 * The periods that ensure that a key is not granted twice.
 */

import type * as configuration from "@hemlockwalk/configuration";

/** Periods in milliseconds. */
export interface ClaimTiming {
  /** A key is not granted again for at least this long after its last use. */
  readonly retention: number;
  /** Slot holders keep the entry of a key for this long if their table is not full. */
  readonly maxEntryAge: number;
  /** Shortest lease on a slot. */
  readonly minLease: number;
  /** Longest lease on a slot. A VM does not vote until this long after its start. */
  readonly maxLease: number;
}

/** Periods of a production fleet. */
export const DEFAULT_TIMING: ClaimTiming = {
  retention: 60_000,
  maxEntryAge: 600_000,
  minLease: 10_000,
  maxLease: 30_000,
};

/** A claim that is not granted within this time after the slots were asked is released. */
export const DECISION_TIMEOUT_MILLISECONDS = 2_000;

/** How long a slot must have recorded all grants of a key before it may grant the key. */
export function getProtectedPeriod(timing: ClaimTiming): number {
  return (timing.retention + DECISION_TIMEOUT_MILLISECONDS) * (1 + MAX_CLOCK_DRIFT);
}

/** Returns the periods for a retention from the settings. */
export function createTiming(retention: number): ClaimTiming {
  return {
    ...DEFAULT_TIMING,
    retention,
    maxEntryAge: Math.max(DEFAULT_TIMING.maxEntryAge, 2 * retention),
  };
}

/** Leases are longer in larger fleets, since a holder sends each renewal to every VM. */
const LEASE_MILLISECONDS_PER_VM = 40;

/** Maximum relative difference between the rates of two VMs' clocks. */
export const MAX_CLOCK_DRIFT = 0.01;

/** Renewals per lease. A failed renewal is retried before the next regular one. */
export const RENEWALS_PER_LEASE = 2;

/** Duration of a lease on a slot, by the size of the fleet. */
export function getLeaseMilliseconds(
  timing: ClaimTiming,
  snapshot: configuration.Snapshot,
): number {
  const wanted = snapshot.fleet.vmLimit * LEASE_MILLISECONDS_PER_VM;
  return Math.min(timing.maxLease, Math.max(timing.minLease, wanted));
}

/** Number of votes that make a VM the only holder of a slot. */
export function getFleetMajority(snapshot: configuration.Snapshot): number {
  return Math.floor(snapshot.fleet.vmLimit / 2) + 1;
}
