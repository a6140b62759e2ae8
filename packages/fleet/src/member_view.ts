/**
 * Builds the list of members that other packages see from the entries and the platform's list.
 */

import type * as model from "@hemlockwalk/model";
import type * as entries from "./member_entry.ts";
import type * as table from "./member_table.ts";
import type * as types from "./types.ts";
import type * as listings from "./vm_listing.ts";

/**
 * Lists the members in the order of their identifiers.
 *
 * @param suspectedSelf This VM's own identifier if the VM is isolated or superseded, so that it is
 * listed as suspect.
 */
export function createView(
  members: table.MemberTable,
  listing: listings.VmListing,
  suspectedSelf: model.VmId | undefined,
): readonly types.Member[] {
  const view = new Map<model.VmId, types.Member>();
  for (const { vm, dataCentre, address } of listing.listRecent()) {
    // A VM with an entry is listed below: its entry is more accurate than the platform's list.
    if (members.get(vm) === undefined) {
      view.set(vm, { vm, dataCentre, address, incarnation: undefined, state: "suspect" });
    }
  }
  for (const entry of members.list()) {
    if (entry.health !== "dead") {
      const { vm, dataCentre, address, incarnation } = entry;
      const state = getState(entry, listing, suspectedSelf);
      view.set(vm, { vm, dataCentre, address, incarnation, state });
    }
  }
  return [...view.values()].sort((left, right) => left.vm < right.vm ? -1 : 1);
}

function getState(
  entry: entries.MemberEntry,
  listing: listings.VmListing,
  suspectedSelf: model.VmId | undefined,
): types.Member["state"] {
  if (entry.isLeaving || listing.isLeaving(entry.vm)) {
    return "leaving";
  }
  return entry.health === "live" && entry.vm !== suspectedSelf ? "live" : "suspect";
}
