/**
 * The floor of a service: how many targets must stay in use.
 */

import type * as model from "@hemlockwalk/model";

/**
 * Subtracted before rounding up, since a product such as 0.55 * 20 is slightly above 11 in floating
 * point and would otherwise be rounded up to 12.
 */
const ROUNDING_TOLERANCE = 1e-9;

/**
 * The smallest number of targets that must stay in use.
 *
 * The floor is a share of all declared targets, including leaving ones, and is rounded up, so that
 * leaving and ejected targets count against the same allowance. Operators decide which targets
 * leave: if this alone takes the service below the share, the floor is all remaining targets. At
 * least one remaining target stays in use.
 */
export function getFloorCount(declared: number, leaving: number, floor: number): number {
  const staying = declared - leaving;
  const share = Math.ceil(declared * floor - ROUNDING_TOLERANCE);
  return Math.min(staying, Math.max(1, share));
}

/** How many of a service's targets may be out of use in addition to the leaving ones. */
export function getAllowance(targets: readonly model.Target[], floor: number): number {
  const leaving = targets.filter((target) => target.leaving).length;
  return targets.length - leaving - getFloorCount(targets.length, leaving, floor);
}
