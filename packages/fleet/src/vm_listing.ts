/**
 * VMs that are known from the platform's list, from settings, or from earlier, heard or not.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import type * as types from "./types.ts";

/** A listed VM that nobody has heard for so long is left out of the view. */
const UNHEARD_LIMIT_MILLISECONDS = 10_000;

/** VMs that were heard once and are tried again, since a partition may end. */
const MAX_REMEMBERED = 2_048;

interface Listing {
  readonly vm: types.ListedVm;
  readonly since: number;
}

/** Keeps the latest list, the seeds and the VMs of earlier views. */
export class VmListing {
  readonly #seeds: ReadonlyMap<model.VmId, Listing>;
  readonly #remembered = new Map<model.VmId, types.ListedVm>();
  #listed: ReadonlyMap<model.VmId, Listing> = new Map();

  constructor(seeds: readonly types.ListedVm[]) {
    this.#seeds = createListings(seeds, new Map());
  }

  /**
   * Takes a new list over.
   *
   * @returns VMs that were on the list before and are not any more.
   */
  replace(vms: readonly types.ListedVm[]): model.VmId[] {
    const previous = this.#listed;
    this.#listed = createListings(vms, previous);
    return [...previous.keys()].filter((vm) => !this.#listed.has(vm));
  }

  find(vm: model.VmId): types.ListedVm | undefined {
    return this.#listed.get(vm)?.vm ?? this.#seeds.get(vm)?.vm ?? this.#remembered.get(vm);
  }

  isLeaving(vm: model.VmId): boolean {
    return this.#listed.get(vm)?.vm.state === "leaving";
  }

  /** Remembers where a VM was that is no longer in the view. */
  remember(vm: types.ListedVm): void {
    this.#remembered.delete(vm.vm);
    this.#remembered.set(vm.vm, vm);
    if (this.#remembered.size > MAX_REMEMBERED) {
      const oldest = this.#remembered.keys().next().value;
      if (oldest !== undefined) {
        this.#remembered.delete(oldest);
      }
    }
  }

  /** VMs that were listed so recently that they may just not have been heard yet. */
  listUnheard(): types.ListedVm[] {
    const now = kernel.getMonotonicMilliseconds();
    const unheard: types.ListedVm[] = [];
    for (const listing of [...this.#listed.values(), ...this.#seeds.values()]) {
      if (now - listing.since < UNHEARD_LIMIT_MILLISECONDS) {
        unheard.push(listing.vm);
      }
    }
    return unheard;
  }

  /**
   * Picks a VM to be tried. Those on the list and the others have the same share of the tries.
   *
   * @param isWanted Whether a VM is out of touch.
   */
  pickRandom(isWanted: (vm: model.VmId) => boolean): model.VmId | undefined {
    const listed = [...this.#listed.keys(), ...this.#seeds.keys()].filter(isWanted);
    const remembered = [...this.#remembered.keys()].filter(isWanted);
    const pool = remembered.length === 0 || (listed.length > 0 && Math.random() < 0.5)
      ? listed
      : remembered;
    return pool[Math.floor(Math.random() * pool.length)];
  }
}

function createListings(
  vms: readonly types.ListedVm[],
  previous: ReadonlyMap<model.VmId, Listing>,
): Map<model.VmId, Listing> {
  const now = kernel.getMonotonicMilliseconds();
  return new Map(
    vms.map((vm) => [vm.vm, { vm, since: previous.get(vm.vm)?.since ?? now }]),
  );
}
