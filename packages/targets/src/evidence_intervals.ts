/**
 * How often VMs report evidence, so that a coordinator receives about as many digests from a large
 * fleet as from a small one.
 */

/** Time between digests for each VM of the fleet. Gives about 77 digests a second at a coordinator. */
const INTERVAL_FOR_EACH_VM_MILLISECONDS = 13;
const SHORTEST_INTERVAL_MILLISECONDS = 250;
const LONGEST_INTERVAL_MILLISECONDS = 10_000;

/** Bad calls may be reported this many times as often as good ones. */
const URGENT_FACTOR = 4;

const LEAST_LIFETIME_MILLISECONDS = 5_000;
const LIFETIME_INTERVALS = 3;

/** Time between two digests of one VM on one service. */
export function getDigestInterval(members: number): number {
  const interval = members * INTERVAL_FOR_EACH_VM_MILLISECONDS;
  return Math.min(
    Math.max(interval, SHORTEST_INTERVAL_MILLISECONDS),
    LONGEST_INTERVAL_MILLISECONDS,
  );
}

/** Shortest time between two digests when calls went badly. */
export function getUrgentInterval(members: number): number {
  return getDigestInterval(members) / URGENT_FACTOR;
}

/** How long a verdict binds after the digest that it answers. */
export function getVerdictLifetime(members: number): number {
  return Math.max(LEAST_LIFETIME_MILLISECONDS, getDigestInterval(members) * LIFETIME_INTERVALS);
}
