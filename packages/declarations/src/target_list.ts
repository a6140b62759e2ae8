/**
 * A list of targets as another VM sends it, and how it is merged into a directory.
 */

import type * as model from "@hemlockwalk/model";
import type * as coverage from "./list_coverage.ts";
import * as positions from "./store_position.ts";
import type * as directories from "./target_directory.ts";
import type * as types from "./types.ts";

/** Changes, or a whole copy, of the list of another VM. */
export interface TargetList {
  /** Mark of the VM's copy with these changes; undefined from earlier versions of the program. */
  readonly mark: coverage.ListMark | undefined;
  /** Whether the changes are the whole copy. */
  readonly isWhole: boolean;
  /**
   * Whether the VM that sends a whole copy has it from a recent read of the store, and has followed
   * the changes since. Undefined from earlier versions of the program.
   */
  readonly isCurrent?: boolean | undefined;
  readonly changes: readonly types.TargetChange[];
}

/** Applies a change to a directory; returns whether it was new. */
export type ChangeSink = (
  change: types.TargetChange,
  listAsOf: types.StorePosition | undefined,
) => boolean;

/** Creates the whole list of a directory: its entries, and the removals it cannot forget yet. */
export function createWholeList(directory: directories.TargetDirectory): TargetList {
  const changes = directory.listChanges().filter(({ entry, position }) =>
    entry !== undefined || !directory.covers(position)
  );
  return { mark: directory.mark, isWhole: true, changes };
}

/**
 * Whether a whole list is complete as of a later position than the directory, so that what it lacks
 * has been removed.
 */
export function supersedes(list: TargetList, directory: directories.TargetDirectory): boolean {
  return list.isWhole && list.mark?.asOf !== undefined && !directory.covers(list.mark.asOf);
}

/** Applies the changes in a list, without the removals of what a whole list lacks. */
export function mergeChanges(
  list: TargetList,
  directory: directories.TargetDirectory,
  apply: ChangeSink,
): boolean {
  const asOf = list.isWhole ? list.mark?.asOf : undefined;
  const applied = list.changes.filter((change) => apply(change, asOf));
  if (list.mark !== undefined) {
    directory.confirmEqual(list.mark);
  }
  return applied.length > 0;
}

/** Removes what a whole list lacks, if it supersedes the directory. */
export function mergeRemovals(
  list: TargetList,
  directory: directories.TargetDirectory,
  apply: ChangeSink,
): boolean {
  const asOf = list.mark?.asOf;
  if (asOf === undefined || !supersedes(list, directory)) {
    return false;
  }
  const present = new Set(
    list.changes.filter(({ entry }) => entry !== undefined).map(({ id }): model.TargetId => id),
  );
  const applied = directory.listChanges()
    .filter(({ id, position, entry }) =>
      entry !== undefined && !present.has(id) && !positions.isLaterPosition(position, asOf)
    )
    .filter(({ id }) => apply({ id, position: asOf, entry: undefined }, undefined));
  directory.confirm(asOf);
  return applied.length > 0;
}
