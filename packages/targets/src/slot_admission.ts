/**
 * Decides, by the slots of a service's targets, on which of them this VM may start a request.
 */

import type * as fleet from "@hemlockwalk/fleet";
import type * as model from "@hemlockwalk/model";
import * as slotAllocations from "./slot_allocation.ts";
import type * as types from "./types.ts";

/** Slots of other VMs may be borrowed up to this share of the target's slots. */
const BORROW_UTILISATION = 0.75;

/** The slots of one service that one VM may use. */
export class SlotAdmission {
  readonly #self: fleet.VmIdentity;
  #targets: readonly model.Target[] = [];
  #slots = 1;
  #callLimit = 1;
  #ownSlots: ReadonlyMap<model.TargetId, number> = new Map();
  #allocatedFor: readonly fleet.Member[] | undefined;

  constructor(self: fleet.VmIdentity) {
    this.#self = self;
  }

  /**
   * Applies a new configuration.
   *
   * @param targets All targets of the service, including those that this VM does not use.
   * @param callLimit Maximum number of requests that this VM may run on one target.
   */
  setTargets(targets: readonly model.Target[], slots: number, callLimit: number): void {
    this.#targets = targets;
    this.#slots = slots;
    this.#callLimit = callLimit;
    this.#allocatedFor = undefined;
  }

  /** Allocates the slots again if the fleet or the targets have changed. */
  updateAllocation(members: readonly fleet.Member[]): void {
    if (members === this.#allocatedFor) {
      return;
    }
    this.#allocatedFor = members;
    const staying = members.filter((member) => member.state !== "leaving");
    this.#ownSlots = slotAllocations.allocateSlots(
      this.#self.vm,
      staying.length > 0 ? staying : [this.#self],
      this.#targets,
      this.#slots,
    );
  }

  /**
   * Whether a request may start on a target: in a slot of this VM, or in a slot of another VM while
   * the load of the target is low. A VM without any slot may always run one request.
   *
   * @param runningRequests Requests of this VM that run on any target of the service.
   */
  hasSlot(candidate: types.Candidate, runningRequests: number): boolean {
    if (candidate.running >= this.#callLimit) {
      return false;
    }
    if (candidate.running < (this.#ownSlots.get(candidate.target.id) ?? 0)) {
      return true;
    }
    const load = candidate.running + candidate.peerLoad + 1;
    return load <= Math.max(1, candidate.slots * BORROW_UTILISATION) ||
      (this.#ownSlots.size === 0 && runningRequests === 0);
  }
}
