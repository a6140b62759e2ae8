/**
 * Which VMs read the platform for their data centre.
 *
 * Each VM ranks the live VMs of its data centre by rendezvous hashing; the best ones read. VMs with
 * different views of the fleet may pick different ones, which costs some calls and does no harm.
 */

import * as fleet from "@hemlockwalk/fleet";
import * as kernel from "@hemlockwalk/kernel";

const READERS_PER_DATA_CENTRE = 2;

/** A VM that becomes a reader starts within this time, so that not all do at once. */
const HIGHEST_TAKE_OVER_DELAY_MILLISECONDS = 1_000;

const ELECTION_KEY = "configuration-readers";

/** Tells whether this VM is a reader now. */
export class ReaderElection {
  readonly #membership: fleet.Membership | undefined;
  #readsSince: number | undefined;

  /** @param membership Undefined for a VM that knows of no others; it always reads. */
  constructor(membership: fleet.Membership | undefined) {
    this.#membership = membership;
    this.#update();
    membership?.onChange(() => this.#update());
  }

  /** Whether this VM reads the platform. Turns true some time after the VM was chosen. */
  get isReader(): boolean {
    return this.#readsSince !== undefined &&
      this.#readsSince <= kernel.getMonotonicMilliseconds();
  }

  /** Number of VMs in the fleet, this one included. */
  get fleetSize(): number {
    return Math.max(1, this.#membership?.listMembers().length ?? 1);
  }

  #update(): void {
    if (!this.#isChosen()) {
      this.#readsSince = undefined;
      return;
    }
    const delay = Math.random() * HIGHEST_TAKE_OVER_DELAY_MILLISECONDS;
    this.#readsSince ??= kernel.getMonotonicMilliseconds() + delay;
  }

  #isChosen(): boolean {
    if (this.#membership === undefined) {
      return true;
    }
    const { self } = this.#membership;
    const candidates = this.#membership.listMembers()
      .filter((member) => member.dataCentre === self.dataCentre && member.state === "live")
      .map((member) => member.vm);
    if (candidates.length === 0) {
      return true;
    }
    return fleet.rankOwners(ELECTION_KEY, candidates, READERS_PER_DATA_CENTRE).includes(self.vm);
  }
}
