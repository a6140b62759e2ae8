/**
 * VMs known from the platform's list, the seeds in the settings, or earlier views, whether or not
 * they have been reached.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import type * as types from "./types.ts";

/** How long after its first listing a VM without an entry stays in the view. */
const LISTING_GRACE_MILLISECONDS = 10_000;

/** Maximum number of former members that are contacted again, since a partition may end. */
const MAX_FORMER_MEMBERS = 2_048;

interface Listing {
  readonly vm: types.ListedVm;
  readonly listedAt: number;
}

/** Keeps the latest list, the seeds and the VMs of earlier views. */
export class VmListing {
  readonly #seeds: ReadonlyMap<model.VmId, Listing>;
  readonly #formerMembers = new Map<model.VmId, types.ListedVm>();
  #listed: ReadonlyMap<model.VmId, Listing> = new Map();

  constructor(seeds: readonly types.ListedVm[]) {
    this.#seeds = createListings(seeds, new Map());
  }

  /**
   * Replaces the list.
   *
   * @returns VMs that were on the previous list and are not on the new one.
   */
  replace(vms: readonly types.ListedVm[]): model.VmId[] {
    const previous = this.#listed;
    this.#listed = createListings(vms, previous);
    return [...previous.keys()].filter((vm) => !this.#listed.has(vm));
  }

  find(vm: model.VmId): types.ListedVm | undefined {
    return this.#listed.get(vm)?.vm ?? this.#seeds.get(vm)?.vm ?? this.#formerMembers.get(vm);
  }

  isLeaving(vm: model.VmId): boolean {
    return this.#listed.get(vm)?.vm.state === "leaving";
  }

  /** Keeps the address of a VM that is no longer in the view. */
  addFormerMember(vm: types.ListedVm): void {
    this.#formerMembers.delete(vm.vm);
    this.#formerMembers.set(vm.vm, vm);
    if (this.#formerMembers.size > MAX_FORMER_MEMBERS) {
      const oldest = this.#formerMembers.keys().next().value;
      if (oldest !== undefined) {
        this.#formerMembers.delete(oldest);
      }
    }
  }

  /** VMs that were listed so recently that they may not have been reached yet. */
  listRecent(): types.ListedVm[] {
    const now = kernel.getMonotonicMilliseconds();
    const recent: types.ListedVm[] = [];
    for (const listing of [...this.#listed.values(), ...this.#seeds.values()]) {
      if (now - listing.listedAt < LISTING_GRACE_MILLISECONDS) {
        recent.push(listing.vm);
      }
    }
    return recent;
  }

  /**
   * Picks a VM to contact. Listed VMs and former members each get half of the attempts.
   *
   * @param isWanted Whether a VM may be picked.
   */
  pickRandom(isWanted: (vm: model.VmId) => boolean): model.VmId | undefined {
    const listed = [...this.#listed.keys(), ...this.#seeds.keys()].filter(isWanted);
    const formerMembers = [...this.#formerMembers.keys()].filter(isWanted);
    const pool = formerMembers.length === 0 || (listed.length > 0 && Math.random() < 0.5)
      ? listed
      : formerMembers;
    return pool[Math.floor(Math.random() * pool.length)];
  }
}

function createListings(
  vms: readonly types.ListedVm[],
  previous: ReadonlyMap<model.VmId, Listing>,
): Map<model.VmId, Listing> {
  const now = kernel.getMonotonicMilliseconds();
  return new Map(
    vms.map((vm) => [vm.vm, { vm, listedAt: previous.get(vm.vm)?.listedAt ?? now }]),
  );
}
