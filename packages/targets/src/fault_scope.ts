/**
 * Distinguishes faults of a target from faults of the network path to it or of one of its routes.
 */

import type * as model from "@hemlockwalk/model";
import type * as windows from "./evidence_window.ts";
import * as statistics from "./statistics.ts";
import type * as types from "./types.ts";

/** Evidence, in nats, that shows a data centre or the other routes to be unaffected. */
const HEALTHY_NATS = 7;

/** Bad calls of the other data centres that show a fault of the target, and their evidence. */
const OTHERS_MINIMUM_BAD_CALLS = 2;
const OTHERS_NATS = 7;

/** The data centres that are affected by a fault. */
export interface PathFinding {
  /** Whether the fault is the target's own, since several data centres are affected. */
  readonly isTargetFault: boolean;
  /** Whether the calls of some data centre show that it is not affected by the fault. */
  readonly healthyElsewhere: boolean;
  /** The most affected data centre; the only one if the fault is not the target's own. */
  readonly dataCentre?: model.DataCentreId | undefined;
}

/**
 * Determines whether the fault is the target's own: data centres other than the most affected one
 * are affected too, and none is shown to be unaffected.
 */
export function findFaultyPath(
  byDataCentre: ReadonlyMap<model.DataCentreId, windows.CallCounts>,
  kind: types.FaultKind,
  expectedShare: number,
): PathFinding {
  const worst = findWorst(byDataCentre, kind);
  if (worst === undefined) {
    return { isTargetFault: false, healthyElsewhere: false };
  }
  const { name, counts } = worst;
  let othersBad = 0;
  let othersCalls = 0;
  let healthyElsewhere = false;
  for (const [dataCentre, other] of byDataCentre) {
    if (dataCentre !== name) {
      othersBad += other[kind];
      othersCalls += other.calls;
      healthyElsewhere ||= isUnaffected(other, counts, kind);
    }
  }
  const isTargetFault = !healthyElsewhere && othersBad >= OTHERS_MINIMUM_BAD_CALLS &&
    statistics.isAboveShare(othersBad, othersCalls, expectedShare, OTHERS_NATS);
  return { isTargetFault, healthyElsewhere, dataCentre: name };
}

/**
 * The only route on which a target fails; undefined if it fails on several routes or on none.
 */
export function findFaultyRoute(
  byRoute: ReadonlyMap<types.ShortId, windows.CallCounts>,
  kind: types.FaultKind,
  expectedShare: number,
  nats: number,
  minimumShare: number,
): types.ShortId | undefined {
  const worst = findWorst(byRoute, kind);
  if (worst === undefined) {
    return undefined;
  }
  const { name, counts } = worst;
  const faulty = counts[kind] >= counts.calls * minimumShare &&
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

function isUnaffected(
  counts: windows.CallCounts,
  faulty: windows.CallCounts,
  kind: types.FaultKind,
): boolean {
  const share = Math.min(faulty[kind] / faulty.calls, 0.95);
  return statistics.isBelowShare(counts[kind], counts.calls, share, HEALTHY_NATS);
}
