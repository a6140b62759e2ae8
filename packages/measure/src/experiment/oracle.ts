/**
 * An oracle for rate limiting: one independent token bucket per workspace, applied to the same
 * arrivals as the fleet.
 */

import type * as types from "../types.ts";

/** Comparison of the oracle with the fleet for the arrivals of one workspace. */
export interface OracleResult {
  readonly workspace: number;
  readonly arrivals: number;
  /** Arrivals that the oracle's token bucket refuses. */
  readonly refusedByOracle: number;
  /** Arrivals that the fleet refused because of the rate. */
  readonly refusedByFleet: number;
  /** Tokens by which the fleet's admissions exceed rate and burst in the worst interval. */
  readonly overshoot: number;
}

/** Refusal reasons that concern the rate of a workspace. */
const RATE_REASONS = new Set(["over_rate", "no_share"]);

/** Whether the fleet refused a request because of its workspace's rate. */
export function isRateRefusal(record: types.RequestRecord): boolean {
  return RATE_REASONS.has(record.reason);
}

/** Applies the oracle to the records of one workspace. */
export function evaluateWorkspace(
  deployment: types.DeploymentPlan,
  workspace: number,
  records: readonly types.RequestRecord[],
): OracleResult {
  const plan = deployment.workspaces[workspace];
  const rate = plan?.rate ?? 0;
  const burst = plan?.burst ?? 0;
  const sorted = records.filter((record) => record.workspace === workspace)
    .sort((left, right) => left.startMilliseconds - right.startMilliseconds);
  const admitted = sorted.filter((record) => !isRateRefusal(record));
  return {
    workspace,
    arrivals: sorted.length,
    refusedByOracle: countRefused(sorted, rate, burst),
    refusedByFleet: sorted.length - admitted.length,
    overshoot: getOvershoot(admitted, rate, burst),
  };
}

function countRefused(
  sorted: readonly types.RequestRecord[],
  rate: number,
  burst: number,
): number {
  let level = burst;
  let previous = sorted[0]?.startMilliseconds ?? 0;
  let refused = 0;
  for (const { startMilliseconds } of sorted) {
    level = Math.min(burst, level + (startMilliseconds - previous) * rate / 1_000);
    previous = startMilliseconds;
    if (level >= 1) {
      level -= 1;
    } else {
      refused++;
    }
  }
  return refused;
}

function getOvershoot(
  admitted: readonly types.RequestRecord[],
  rate: number,
  burst: number,
): number {
  let level = burst;
  let previous = admitted[0]?.startMilliseconds ?? 0;
  let lowest = 0;
  for (const { startMilliseconds } of admitted) {
    level = Math.min(burst, level + (startMilliseconds - previous) * rate / 1_000) - 1;
    previous = startMilliseconds;
    lowest = Math.min(lowest, level);
  }
  return Math.abs(lowest);
}
