/**
 * The share of bad calls expected of a target, derived from the calls to its service's other
 * targets.
 */

import * as windows from "./evidence_window.ts";
import type * as types from "./types.ts";

/** Smallest share of bad calls that is expected of a healthy target. */
export const MINIMUM_EXPECTED_SHARES = { broken: 0.002, failed: 0.005, slow: 0.01 } as const;

/** The expected share is this many times the share observed on the other targets. */
const PEER_SHARE_FACTOR = 2;

/** Share of bad calls at which a target counts as failing in a comparison. */
const FAILING_PEER_SHARE = 0.25;

/** A failing target with at least this many bad calls is left out of the comparison. */
const FAILING_PEER_CALLS = 3;

/** Shares of the other targets' calls above which slow calls are attributed to overload. */
const OVERLOAD_SHED_SHARE = 0.05;
const OVERLOAD_SLOW_SHARE = 0.25;

/** Share of shed calls above which a target's slow calls are attributed to its load. */
const TARGET_SHED_SHARE = 0.1;

/** Whether the share of bad calls is large enough for the target to count as failing. */
export function isFailing(kind: types.FaultKind, counts: windows.CallCounts): boolean {
  return counts[kind] > 0 && counts[kind] >= counts.calls * FAILING_PEER_SHARE;
}

/** Counts of the other targets that were called in a window. */
export function listPeerCounts(
  target: types.ShortId,
  totals: ReadonlyMap<types.ShortId, readonly windows.CallCounts[]>,
  index: number,
): windows.CallCounts[] {
  const peers: windows.CallCounts[] = [];
  for (const [other, counts] of totals) {
    const inWindow = counts[index];
    if (other !== target && inWindow !== undefined && inWindow.calls > 0) {
      peers.push(inWindow);
    }
  }
  return peers;
}

/** Whether slow calls are explained by load on the whole service, or on a target that sheds it. */
export function isOverloaded(
  own: windows.CallCounts,
  peers: readonly windows.CallCounts[],
): boolean {
  const sum = windows.createCounts();
  for (const counts of peers) {
    windows.addCounts(sum, counts);
  }
  return own.shed > own.calls * TARGET_SHED_SHARE ||
    sum.shed > sum.calls * OVERLOAD_SHED_SHARE ||
    sum.slow > sum.calls * OVERLOAD_SLOW_SHARE;
}

/** Share of bad calls expected of a healthy target, from the peers that are not clearly failing. */
export function getExpectedShare(
  kind: types.FaultKind,
  peers: readonly windows.CallCounts[],
  longTermPeers: readonly windows.CallCounts[],
): number {
  const minimum = MINIMUM_EXPECTED_SHARES[kind];
  const recent = sumHealthy(kind, peers);
  const longTerm = sumHealthy(kind, longTermPeers);
  const longTermShare = (longTerm[kind] + 1) / (longTerm.calls + 1 / minimum);
  // A single bad call in a short window is too little evidence of the share.
  const recentShare = recent[kind] > 1 ? recent[kind] / recent.calls : 0;
  return Math.max(minimum, Math.max(longTermShare, recentShare) * PEER_SHARE_FACTOR);
}

function sumHealthy(
  kind: types.FaultKind,
  peers: readonly windows.CallCounts[],
): windows.CallCounts {
  const sum = windows.createCounts();
  for (const counts of peers) {
    if (counts[kind] < FAILING_PEER_CALLS || !isFailing(kind, counts)) {
      windows.addCounts(sum, counts);
    }
  }
  return sum;
}
