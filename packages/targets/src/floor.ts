/**
 * The floor of a service: how many targets must stay in use.
 */

import type * as model from "@hemlockwalk/model";

/** Keeps products such as 0.55 * 20, which is a little above 11 in floating point, from one too many. */
const ROUNDING_SLACK = 1e-9;

/**
 * The smallest number of targets in use.
 *
 * The share is taken of all declared targets, leaving ones included, and rounded up, so that leaving
 * targets and ejected ones together use up the same allowance. Leaving is the operators' own decision:
 * where it alone goes below the share, the floor is all targets that stay. At least one stays in use.
 */
export function getFloorCount(declared: number, leaving: number, floor: number): number {
  const staying = declared - leaving;
  const share = Math.ceil(declared * floor - ROUNDING_SLACK);
  return Math.min(staying, Math.max(1, share));
}

/** How many of a service's targets may be out of use besides the leaving ones. */
export function getAllowance(targets: readonly model.Target[], floor: number): number {
  const leaving = targets.filter((target) => target.leaving).length;
  return targets.length - leaving - getFloorCount(targets.length, leaving, floor);
}
