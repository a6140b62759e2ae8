/**
 * The few VMs that a VM passes notes to.
 *
 * They stay the same while the fleet does, so a VM needs few links. Half of them are in its own data
 * centre, half elsewhere, and one more changes from time to time, so that no group stays apart.
 */

import * as fleet from "@hemlockwalk/fleet";
import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";

const NEIGHBOURS_INSIDE = 3;
const NEIGHBOURS_OUTSIDE = 3;
const EXPLORER_LIFETIME_MILLISECONDS = 10_000;

/** The neighbours of one VM. */
export class Neighbours {
  readonly #membership: fleet.Membership;
  #stable: readonly model.VmId[] = [];
  #explorer: model.VmId | undefined;
  #explorerUntil = Number.NEGATIVE_INFINITY;

  constructor(membership: fleet.Membership) {
    this.#membership = membership;
    this.#update();
    membership.onChange(() => this.#update());
  }

  /** All neighbours, best known ones first. */
  list(): model.VmId[] {
    const explorer = this.#getExplorer();
    return explorer === undefined || this.#stable.includes(explorer)
      ? [...this.#stable]
      : [...this.#stable, explorer];
  }

  /** Some other VMs at random. */
  pickRandom(count: number): model.VmId[] {
    const others = this.#listOthers().map((member) => member.vm);
    for (let index = others.length - 1; index > 0; index--) {
      const other = Math.floor(Math.random() * (index + 1));
      [others[index], others[other]] = [
        kernel.getDefined(others[other], "The index is within the list."),
        kernel.getDefined(others[index], "The index is within the list."),
      ];
    }
    return others.slice(0, count);
  }

  #getExplorer(): model.VmId | undefined {
    const now = kernel.getMonotonicMilliseconds();
    if (now >= this.#explorerUntil) {
      this.#explorerUntil = now + EXPLORER_LIFETIME_MILLISECONDS;
      this.#explorer = this.pickRandom(1)[0];
    }
    return this.#explorer;
  }

  #listOthers(): fleet.Member[] {
    const { self } = this.#membership;
    const others = this.#membership.listMembers().filter((member) => member.vm !== self.vm);
    const trusted = others.filter((member) => member.state !== "suspect");
    // A VM that suspects everybody is more likely cut off itself, and goes on trying.
    return trusted.length > 0 ? trusted : others;
  }

  #update(): void {
    const { self } = this.#membership;
    const inside: model.VmId[] = [];
    const outside: model.VmId[] = [];
    for (const member of this.#listOthers()) {
      (member.dataCentre === self.dataCentre ? inside : outside).push(member.vm);
    }
    const key = `configuration-neighbours ${self.vm}`;
    this.#stable = [
      ...fleet.rankOwners(key, inside, NEIGHBOURS_INSIDE),
      ...fleet.rankOwners(key, outside, NEIGHBOURS_OUTSIDE),
    ];
    if (this.#explorer !== undefined) {
      const isThere = [...inside, ...outside].includes(this.#explorer);
      this.#explorer = isThere ? this.#explorer : undefined;
    }
  }
}
