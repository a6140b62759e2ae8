/**
 * Elects the VMs that read the platform for their data centre.
 *
 * Each VM ranks the live VMs of its data centre by rendezvous hashing; those ranked highest are the
 * readers. VMs with different views of the fleet may elect different readers, which costs some
 * additional calls but does no harm.
 */

import * as fleet from "@hemlockwalk/fleet";
import * as kernel from "@hemlockwalk/kernel";

const READERS_PER_DATA_CENTRE = 2;

/** A newly elected reader starts after a random delay of at most this, to spread the load. */
const MAXIMUM_START_DELAY_MILLISECONDS = 1_000;

const ELECTION_KEY = "configuration-readers";

/** Decides whether this VM is a reader. */
export class ReaderElection {
  readonly #membership: fleet.Membership | undefined;
  #startsReadingAt: number | undefined;

  /** @param membership Undefined on a VM without peers, which is always a reader. */
  constructor(membership: fleet.Membership | undefined) {
    this.#membership = membership;
    this.#update();
    membership?.onChange(() => this.#update());
  }

  /** Whether this VM reads the platform. Becomes true some time after the VM was elected. */
  get isReader(): boolean {
    return this.#startsReadingAt !== undefined &&
      this.#startsReadingAt <= kernel.getMonotonicMilliseconds();
  }

  /** Number of VMs in the fleet, this one included. */
  get fleetSize(): number {
    return Math.max(1, this.#membership?.listMembers().length ?? 1);
  }

  #update(): void {
    if (!this.#isElected()) {
      this.#startsReadingAt = undefined;
      return;
    }
    const delay = Math.random() * MAXIMUM_START_DELAY_MILLISECONDS;
    this.#startsReadingAt ??= kernel.getMonotonicMilliseconds() + delay;
  }

  #isElected(): boolean {
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
