/**
 * The rules on which the promise of the escrow limiter rests, and their durations.
 *
 * Each rule can be switched off, so that a test can show that it is needed: without it the oracle
 * must find an admission too many. Production code uses `SAFETY_MARGINS`.
 */

/** The rules, one by one. */
export interface SafetyMargins {
  /** The most by which a clock's speed differs from real time, as a share. */
  readonly clockDrift: number;
  /** A holder does not spend a grant after its expiry. */
  readonly grantExpiry: boolean;
  /** Tokens that nobody vouches for are not assumed to exist. */
  readonly emptyStart: boolean;
  /** Grants end before the authority does, and shares are reclaimed only after grants ended. */
  readonly accrualAfterExpiry: boolean;
  /** The pooled part needs the votes of more than half of `vmLimit`. */
  readonly quorum: boolean;
  /** A VM that has just started neither votes nor spends its own share. */
  readonly votingWait: boolean;
  /** No votes for a coordinator that stays behind this VM's configuration. */
  readonly configurationAgreement: boolean;
  /** What is handed over or returned is deducted first. */
  readonly deductionBeforeSending: boolean;
}

/** The rules as they hold in production. */
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

/** How long a grant may be spent at the most. */
export const GRANT_LIFETIME_MILLISECONDS = 1_000;

/** How long a coordinator may stay behind a voter's configuration. */
export const CONFIGURATION_GRACE_MILLISECONDS = 8_000;

/**
 * How long levels may be on their way from one coordinator to the next: once in the hands of the
 * earlier one, once on the way. Both together are less than any coordinator needs to come and go.
 */
export const HANDOVER_MILLISECONDS = 400;

interface LeaseTier {
  readonly vmLimit: number;
  readonly leaseMilliseconds: number;
}

const LEASE_TIERS: readonly LeaseTier[] = [
  { vmLimit: 64, leaseMilliseconds: 2_000 },
  { vmLimit: 256, leaseMilliseconds: 8_000 },
];

const LONGEST_LEASE_MILLISECONDS = 20_000;

/** How long a vote binds. Larger fleets renew less often, so that the traffic stays bounded. */
export function getLeaseMilliseconds(vmLimit: number): number {
  const tier = LEASE_TIERS.find((candidate) => vmLimit <= candidate.vmLimit);
  return tier?.leaseMilliseconds ?? LONGEST_LEASE_MILLISECONDS;
}

/**
 * The time for which the receiver of a lease may rely on it. It counts from the sending of its
 * request, on a clock that may be slow, while the giver's clock may be fast.
 */
export function getReceiverMilliseconds(milliseconds: number, margins: SafetyMargins): number {
  return milliseconds * (1 - margins.clockDrift) / (1 + margins.clockDrift);
}

/** After this time no VM that follows its configuration acts on an earlier one. */
export function getSettleMilliseconds(vmLimit: number): number {
  return CONFIGURATION_GRACE_MILLISECONDS + getLeaseMilliseconds(vmLimit) +
    GRANT_LIFETIME_MILLISECONDS;
}
