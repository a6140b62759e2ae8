/**
 * Selects the neighbours of a VM: the few VMs that it sends notes to.
 *
 * The neighbours change only with the fleet, so a VM needs few links. Half of them are in its own
 * data centre and half in others. One additional neighbour is chosen at random and replaced
 * periodically, so that no group of VMs stays isolated.
 */

import * as fleet from "@hemlockwalk/fleet";
import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";

const NEIGHBOURS_IN_DATA_CENTRE = 3;
const NEIGHBOURS_IN_OTHER_DATA_CENTRES = 3;
const RANDOM_NEIGHBOUR_LIFETIME_MILLISECONDS = 10_000;

/** The neighbours of one VM. */
export class Neighbours {
  readonly #membership: fleet.Membership;
  #stable: readonly model.VmId[] = [];
  #randomNeighbour: model.VmId | undefined;
  #randomNeighbourUntil = Number.NEGATIVE_INFINITY;

  constructor(membership: fleet.Membership) {
    this.#membership = membership;
    this.#update();
    membership.onChange(() => this.#update());
  }

  /** Lists all neighbours; the random one is last. */
  list(): model.VmId[] {
    const randomNeighbour = this.#getRandomNeighbour();
    return randomNeighbour === undefined || this.#stable.includes(randomNeighbour)
      ? [...this.#stable]
      : [...this.#stable, randomNeighbour];
  }

  /** Picks other VMs at random. */
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

  #getRandomNeighbour(): model.VmId | undefined {
    const now = kernel.getMonotonicMilliseconds();
    if (now >= this.#randomNeighbourUntil) {
      this.#randomNeighbourUntil = now + RANDOM_NEIGHBOUR_LIFETIME_MILLISECONDS;
      this.#randomNeighbour = this.pickRandom(1)[0];
    }
    return this.#randomNeighbour;
  }

  #listOthers(): fleet.Member[] {
    const { self } = this.#membership;
    const others = this.#membership.listMembers().filter((member) => member.vm !== self.vm);
    const unsuspected = others.filter((member) => member.state !== "suspect");
    // If all other VMs are suspected, this VM is probably the one cut off, so it keeps trying them.
    return unsuspected.length > 0 ? unsuspected : others;
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
      ...fleet.rankOwners(key, inside, NEIGHBOURS_IN_DATA_CENTRE),
      ...fleet.rankOwners(key, outside, NEIGHBOURS_IN_OTHER_DATA_CENTRES),
    ];
    if (this.#randomNeighbour !== undefined) {
      const isMember = [...inside, ...outside].includes(this.#randomNeighbour);
      this.#randomNeighbour = isMember ? this.#randomNeighbour : undefined;
    }
  }
}
