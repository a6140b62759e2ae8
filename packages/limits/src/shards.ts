/**
 * Workspaces are spread over a fixed number of shards, and each shard has one coordinator. Votes
 * are given for shards, so their cost does not grow with the number of workspaces.
 */

import * as fleet from "@hemlockwalk/fleet";
import type * as model from "@hemlockwalk/model";

/** Number of shards. All VMs use the same. */
export const SHARD_COUNT = 128;

/** The most VMs that coordinate shards, so that the number of links per VM stays bounded. */
export const MAXIMUM_COORDINATORS = 24;

const COORDINATORS_KEY = "limits coordinators";

/** The shard of a workspace. */
export function getShard(workspace: model.WorkspaceId): number {
  return fleet.hashText(workspace) % SHARD_COUNT;
}

/**
 * Which VM should coordinate which shard, by this VM's view of the fleet. Views differ between
 * VMs; the votes decide, and this only says whom to vote for, claim for or ask.
 */
export class ShardOwners {
  readonly #membership: fleet.Membership;
  /** VMs that said themselves that they are about to stop. */
  readonly #leaving = new Set<model.VmId>();
  /** VMs that stayed behind with their configuration, and so get no votes. */
  readonly #behind = new Set<model.VmId>();
  #owners: readonly model.VmId[] = [];

  constructor(membership: fleet.Membership) {
    this.#membership = membership;
    this.refresh();
  }

  /** Leaves a VM out that said that it is about to stop; true when that is news. */
  markLeaving(vm: model.VmId): boolean {
    if (this.#leaving.has(vm)) {
      return false;
    }
    this.#leaving.add(vm);
    this.refresh();
    return true;
  }

  /** Leaves a VM out while its configuration is old; true when that is news. */
  markBehind(vm: model.VmId, isBehind: boolean): boolean {
    if (this.#behind.has(vm) === isBehind) {
      return false;
    }
    if (isBehind) {
      this.#behind.add(vm);
    } else {
      this.#behind.delete(vm);
    }
    this.refresh();
    return true;
  }

  /** Reads the view again. */
  refresh(): void {
    const members = this.#membership.listMembers();
    this.#forgetUnlisted(members);
    const candidates = members.filter((member) => member.state === "live")
      .map((member) => member.vm)
      .filter((vm) => !this.#leaving.has(vm) && !this.#behind.has(vm));
    const coordinators = fleet.rankOwners(COORDINATORS_KEY, candidates, MAXIMUM_COORDINATORS);
    const owners: model.VmId[] = [];
    for (let shard = 0; shard < SHARD_COUNT; shard++) {
      const owner = fleet.rankOwners(`shard ${shard}`, coordinators, 1)[0];
      owners.push(owner ?? this.#membership.self.vm);
    }
    this.#owners = owners;
  }

  #forgetUnlisted(members: readonly fleet.Member[]): void {
    const listed = new Set(members.map((member) => member.vm));
    for (const vm of [...this.#leaving, ...this.#behind]) {
      if (!listed.has(vm)) {
        this.#leaving.delete(vm);
        this.#behind.delete(vm);
      }
    }
  }

  /** The VM that should coordinate a shard. */
  getOwner(shard: number): model.VmId {
    return this.#owners[shard] ?? this.#membership.self.vm;
  }

  /** The shards that a VM should coordinate. */
  listShards(vm: model.VmId): number[] {
    const shards: number[] = [];
    for (const [shard, owner] of this.#owners.entries()) {
      if (owner === vm) {
        shards.push(shard);
      }
    }
    return shards;
  }
}
