/**
 * The rules that keep the escrow limiter from admitting more than rate and burst allow, and their
 * durations.
 *
 * Each rule can be disabled, so that a test can show that it is needed: without the rule, the
 * oracle must detect an excess admission. Production code uses `SAFETY_MARGINS`.
 */

/** The safety rules of the escrow limiter. */
export interface SafetyMargins {
  /** Maximum deviation of a clock's speed from real time, as a fraction. */
  readonly clockDrift: number;
  /** A holder does not spend a grant after its expiry. */
  readonly grantExpiry: boolean;
  /** A bucket whose earlier level is unknown is assumed to have been empty, not full. */
  readonly emptyStart: boolean;
  /**
   * A grant expires before the majority on which it relies ends, and a voter reclaims its share
   * only after the grants that rely on its vote have expired.
   */
  readonly accrualAfterExpiry: boolean;
  /** The pooled part may be spent only with the votes of more than half of `vmLimit` VMs. */
  readonly quorum: boolean;
  /**
   * A VM that has just started neither votes nor spends its own share, since votes of a predecessor
   * may still be in force.
   */
  readonly votingWait: boolean;
  /**
   * A VM gives no votes to a coordinator whose release note conflicts with its own, or stays older
   * than its own for longer than the grace period.
   */
  readonly configurationAgreement: boolean;
  /** The sender deducts tokens before it hands them over or returns them. */
  readonly deductionBeforeSending: boolean;
}

/** The rules that production code uses: all of them. */
export const SAFETY_MARGINS: SafetyMargins = {
  clockDrift: 0.001,
  grantExpiry: true,
  emptyStart: true,
  accrualAfterExpiry: true,
  quorum: true,
  votingWait: true,
  configurationAgreement: true,
  deductionBeforeSending: true,
};

/** Maximum lifetime of a grant. */
export const GRANT_LIFETIME_MILLISECONDS = 1_000;

/** How long a voter still votes for a coordinator whose configuration is older than its own. */
export const CONFIGURATION_GRACE_MILLISECONDS = 8_000;

/**
 * How long handed-over levels stay valid. The limit applies twice: to the time for which the
 * earlier coordinator stores them, and to the time from the successor's request until it adopts
 * them. Both together are less than any coordinator needs to gain and lose its authority.
 */
export const HANDOVER_VALIDITY_MILLISECONDS = 400;

interface LeaseTier {
  readonly vmLimit: number;
  readonly leaseMilliseconds: number;
}

const LEASE_TIERS: readonly LeaseTier[] = [
  { vmLimit: 64, leaseMilliseconds: 2_000 },
  { vmLimit: 256, leaseMilliseconds: 8_000 },
];

const MAXIMUM_LEASE_MILLISECONDS = 20_000;

/**
 * How long a vote binds the voter. Larger fleets renew votes less often, which bounds the traffic.
 */
export function getLeaseMilliseconds(vmLimit: number): number {
  const tier = LEASE_TIERS.find((candidate) => vmLimit <= candidate.vmLimit);
  return tier?.leaseMilliseconds ?? MAXIMUM_LEASE_MILLISECONDS;
}

/**
 * How long the receiver of a lease may rely on it, from the sending of its request. The receiver's
 * clock may be slow while the issuer's clock is fast.
 */
export function getReceiverLifetimeMilliseconds(
  milliseconds: number,
  margins: SafetyMargins,
): number {
  return milliseconds * (1 - margins.clockDrift) / (1 + margins.clockDrift);
}

/**
 * Time after a change of configuration from which no VM that keeps up with the configuration acts
 * on an earlier one.
 */
export function getSettleMilliseconds(vmLimit: number): number {
  return CONFIGURATION_GRACE_MILLISECONDS + getLeaseMilliseconds(vmLimit) +
    GRANT_LIFETIME_MILLISECONDS;
}
