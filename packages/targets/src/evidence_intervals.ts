/**
 * How often VMs report evidence, so that a coordinator receives about as many digests from a large
 * fleet as from a small one.
 */

/** Digest interval per VM of the fleet. A coordinator receives about 77 digests a second. */
const INTERVAL_PER_VM_MILLISECONDS = 13;
const SHORTEST_INTERVAL_MILLISECONDS = 250;
const LONGEST_INTERVAL_MILLISECONDS = 10_000;

/** Bad calls may be reported this many times as often as good ones. */
const URGENT_FACTOR = 4;

const MINIMUM_LIFETIME_MILLISECONDS = 5_000;
const LIFETIME_INTERVALS = 3;

/** Time between two digests of one VM on one service. */
export function getDigestInterval(members: number): number {
  const interval = members * INTERVAL_PER_VM_MILLISECONDS;
  return Math.min(
    Math.max(interval, SHORTEST_INTERVAL_MILLISECONDS),
    LONGEST_INTERVAL_MILLISECONDS,
  );
}

/** Shortest time between two digests of one VM when it has bad calls to report. */
export function getUrgentInterval(members: number): number {
  return getDigestInterval(members) / URGENT_FACTOR;
}

/** How long a verdict stays in force after the digest that it replies to. */
export function getVerdictLifetime(members: number): number {
  return Math.max(MINIMUM_LIFETIME_MILLISECONDS, getDigestInterval(members) * LIFETIME_INTERVALS);
}
