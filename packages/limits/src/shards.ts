/**
 * Assigns workspaces to a fixed number of shards, each with one coordinator. VMs vote per shard, so
 * the cost of voting does not grow with the number of workspaces.
 */

import * as fleet from "@hemlockwalk/fleet";
import type * as model from "@hemlockwalk/model";

/** Number of shards. All VMs must use the same number. */
export const SHARD_COUNT = 128;

/** Maximum number of VMs that coordinate shards; it bounds the number of links per VM. */
export const MAXIMUM_COORDINATORS = 24;

const COORDINATORS_KEY = "limits coordinators";

/** The shard of a workspace. */
export function getShard(workspace: model.WorkspaceId): number {
  return fleet.hashText(workspace) % SHARD_COUNT;
}

/**
 * The VM that should coordinate each shard, according to this VM's view of the fleet. Views differ
 * between VMs, and only votes give authority: the view determines which shards this VM claims or
 * releases, and where it sends token requests.
 */
export class ShardOwners {
  readonly #membership: fleet.Membership;
  /** VMs that announced that they are about to stop. */
  readonly #leaving = new Set<model.VmId>();
  /** VMs whose configuration is out of date, and which therefore get no votes. */
  readonly #behind = new Set<model.VmId>();
  #owners: readonly model.VmId[] = [];

  constructor(membership: fleet.Membership) {
    this.#membership = membership;
    this.refresh();
  }

  /** Excludes a VM that announced that it is about to stop. Returns whether this is a change. */
  markLeaving(vm: model.VmId): boolean {
    if (this.#leaving.has(vm)) {
      return false;
    }
    this.#leaving.add(vm);
    this.refresh();
    return true;
  }

  /** Excludes a VM while its configuration is out of date. Returns whether this is a change. */
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

  /** Recomputes the owners from the current members. */
  refresh(): void {
    const members = this.#membership.listMembers();
    this.#removeUnlisted(members);
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

  #removeUnlisted(members: readonly fleet.Member[]): void {
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
