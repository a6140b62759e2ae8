/**
 * Turns entries and listings into the members that other packages see.
 */

import type * as model from "@hemlockwalk/model";
import type * as entries from "./member_entry.ts";
import type * as table from "./member_table.ts";
import type * as types from "./types.ts";
import type * as listings from "./vm_listing.ts";

/**
 * Lists the members in the order of their identifiers.
 *
 * @param doubted The VM itself, when it has reason to doubt its own part in the fleet.
 */
export function createView(
  members: table.MemberTable,
  listing: listings.VmListing,
  doubted: model.VmId | undefined,
): readonly types.Member[] {
  const view = new Map<model.VmId, types.Member>();
  for (const { vm, dataCentre, address } of listing.listUnheard()) {
    // A VM that was heard once has an entry, which says more than the list.
    if (members.get(vm) === undefined) {
      view.set(vm, { vm, dataCentre, address, incarnation: undefined, state: "suspect" });
    }
  }
  for (const entry of members.list()) {
    if (entry.health !== "dead") {
      const { vm, dataCentre, address, incarnation } = entry;
      const state = getState(entry, listing, doubted);
      view.set(vm, { vm, dataCentre, address, incarnation, state });
    }
  }
  return [...view.values()].sort((left, right) => left.vm < right.vm ? -1 : 1);
}

function getState(
  entry: entries.MemberEntry,
  listing: listings.VmListing,
  doubted: model.VmId | undefined,
): types.Member["state"] {
  if (entry.isLeaving || listing.isLeaving(entry.vm)) {
    return "leaving";
  }
  return entry.health === "live" && entry.vm !== doubted ? "live" : "suspect";
}
