/**
 * Order of positions in the history of the store.
 *
 * Revisions alone do not order changes: a store that was restored from a backup assigns them again.
 * Nothing else compares revisions.
 */

import type * as types from "./types.ts";

/** Era of a store that states none. */
export const UNSTATED_ERA = 0 as types.StoreEra;

/** Returns a negative number, zero or a positive number, like a comparison function of `sort`. */
export function comparePositions(left: types.StorePosition, right: types.StorePosition): number {
  return left.era - right.era || left.revision - right.revision;
}

export function isLaterPosition(left: types.StorePosition, right: types.StorePosition): boolean {
  return comparePositions(left, right) > 0;
}
