/**
 * Tells a fault of a target from a fault of the path to it, or of one of its routes.
 */

import type * as model from "@hemlockwalk/model";
import type * as windows from "./evidence_window.ts";
import * as statistics from "./statistics.ts";
import type * as types from "./types.ts";

/** Evidence, in nats, with which a source or a route is shown to be healthy. */
const HEALTHY_NATS = 7;

/** Bad calls that the other data centres must have seen together, and the evidence in them. */
const SPREAD_LEAST_CALLS = 2;
const SPREAD_NATS = 7;

/** Where a fault shows. */
export interface PathFinding {
  /** Whether the target is at fault, since several data centres see it alike. */
  readonly spread: boolean;
  /** Otherwise the data centre from which it is seen. */
  readonly dataCentre?: model.DataCentreId | undefined;
}

/**
 * Tells whether the fault is the target's own. It is, when the data centres other than the worst
 * have seen it too and none has shown that it does not see it.
 */
export function findFaultyPath(
  byDataCentre: ReadonlyMap<model.DataCentreId, windows.CallCounts>,
  kind: types.FaultKind,
  expectedShare: number,
): PathFinding {
  const worst = findWorst(byDataCentre, kind);
  if (worst === undefined) {
    return { spread: false };
  }
  const { name, counts } = worst;
  let othersBad = 0;
  let othersCalls = 0;
  let healthy = false;
  for (const [dataCentre, other] of byDataCentre) {
    if (dataCentre !== name) {
      othersBad += other[kind];
      othersCalls += other.calls;
      healthy ||= isHealthy(other, counts, kind);
    }
  }
  const spread = !healthy && othersBad >= SPREAD_LEAST_CALLS &&
    statistics.isAboveShare(othersBad, othersCalls, expectedShare, SPREAD_NATS);
  return { spread, dataCentre: name };
}

/**
 * The one route on which alone a target fails; undefined when the target fails as a whole or not at
 * all.
 */
export function findFaultyRoute(
  byRoute: ReadonlyMap<types.ShortId, windows.CallCounts>,
  kind: types.FaultKind,
  expectedShare: number,
  nats: number,
  materialShare: number,
): types.ShortId | undefined {
  const worst = findWorst(byRoute, kind);
  if (worst === undefined) {
    return undefined;
  }
  const { name, counts } = worst;
  const faulty = counts[kind] >= counts.calls * materialShare &&
    statistics.isAboveShare(counts[kind], counts.calls, expectedShare, nats);
  let othersBad = 0;
  let othersCalls = 0;
  for (const [route, other] of byRoute) {
    if (route !== name) {
      othersBad += other[kind];
      othersCalls += other.calls;
    }
  }
  const share = Math.min(counts[kind] / counts.calls, 0.95);
  const alone = statistics.isBelowShare(othersBad, othersCalls, share, HEALTHY_NATS);
  return faulty && alone ? name : undefined;
}

function findWorst<Name>(
  parts: ReadonlyMap<Name, windows.CallCounts>,
  kind: types.FaultKind,
): { readonly name: Name; readonly counts: windows.CallCounts } | undefined {
  let worst: { readonly name: Name; readonly counts: windows.CallCounts } | undefined;
  for (const [name, counts] of parts) {
    if (counts[kind] > (worst?.counts[kind] ?? 0)) {
      worst = { name, counts };
    }
  }
  return worst;
}

function isHealthy(
  counts: windows.CallCounts,
  faulty: windows.CallCounts,
  kind: types.FaultKind,
): boolean {
  const share = Math.min(faulty[kind] / faulty.calls, 0.95);
  return statistics.isBelowShare(counts[kind], counts.calls, share, HEALTHY_NATS);
}
