/**
 * What is expected of a target, from what the calls to the service's other targets show.
 */

import * as windows from "./evidence_window.ts";
import type * as types from "./types.ts";

/** Shares of bad calls that are expected of a healthy target at the least. */
export const LEAST_SHARES = { broken: 0.002, failed: 0.005, slow: 0.01 } as const;

/** The expected share is this many times the share that the other targets show. */
const PEER_SHARE_FACTOR = 2;

/** A share of bad calls from which on a target is taken for bad in a comparison. */
const BAD_PEER_SHARE = 0.25;

/** Bad calls from which on a target with a large share of them is not compared with. */
const SICK_PEER_CALLS = 3;

/** Shares of the service's calls above which slowness is taken for overload. */
const OVERLOAD_SHED_SHARE = 0.05;
const OVERLOAD_SLOW_SHARE = 0.25;

/** A share of a target's own calls above which its slowness is taken for load. */
const TARGET_SHED_SHARE = 0.1;

/** Whether a large share of a target's calls is bad. */
export function isBad(kind: types.FaultKind, counts: windows.CallCounts): boolean {
  return counts[kind] > 0 && counts[kind] >= counts.calls * BAD_PEER_SHARE;
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

/** Whether slowness is load: of the whole service, or of a target that sheds. */
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

/** The share of bad calls that a healthy target may show, from the others that are not clearly sick. */
export function getExpectedShare(
  kind: types.FaultKind,
  peers: readonly windows.CallCounts[],
  longPeers: readonly windows.CallCounts[],
): number {
  const least = LEAST_SHARES[kind];
  const now = sumHealthy(kind, peers);
  const long = sumHealthy(kind, longPeers);
  const longShare = (long[kind] + 1) / (long.calls + 1 / least);
  // A single bad call in a short window says little about the share.
  const nowShare = now[kind] > 1 ? now[kind] / now.calls : 0;
  return Math.max(least, Math.max(longShare, nowShare) * PEER_SHARE_FACTOR);
}

function sumHealthy(
  kind: types.FaultKind,
  peers: readonly windows.CallCounts[],
): windows.CallCounts {
  const sum = windows.createCounts();
  for (const counts of peers) {
    if (counts[kind] < SICK_PEER_CALLS || !isBad(kind, counts)) {
      windows.addCounts(sum, counts);
    }
  }
  return sum;
}
