/**
 * Which targets of a service this VM may start a request on, by their slots.
 */

import type * as fleet from "@hemlockwalk/fleet";
import type * as model from "@hemlockwalk/model";
import * as slotShares from "./slot_allocation.ts";
import type * as types from "./types.ts";

/** A slot of another VM may be borrowed while the target's reported load is below this share. */
const BORROW_UTILISATION = 0.75;

/** The slots of one service as seen by one VM. */
export class SlotBook {
  readonly #self: fleet.VmIdentity;
  #targets: readonly model.Target[] = [];
  #slots = 1;
  #callLimit = 1;
  #ownSlots: ReadonlyMap<model.TargetId, number> = new Map();
  #dealtFor: readonly fleet.Member[] | undefined;

  constructor(self: fleet.VmIdentity) {
    this.#self = self;
  }

  /**
   * Takes over a new configuration.
   *
   * @param targets All targets of the service, those that this VM does not use included.
   * @param callLimit Requests that this VM may run on one target at the most.
   */
  declare(targets: readonly model.Target[], slots: number, callLimit: number): void {
    this.#targets = targets;
    this.#slots = slots;
    this.#callLimit = callLimit;
    this.#dealtFor = undefined;
  }

  /** Deals the slots again when the fleet or the targets have changed. */
  deal(members: readonly fleet.Member[]): void {
    if (members === this.#dealtFor) {
      return;
    }
    this.#dealtFor = members;
    const staying = members.filter((member) => member.state !== "leaving");
    this.#ownSlots = slotShares.dealSlots(
      this.#self.vm,
      staying.length > 0 ? staying : [this.#self],
      this.#targets,
      this.#slots,
    );
  }

  /**
   * Whether a request may start on a target: in a slot of this VM, or in one of another VM while the
   * target is little loaded. A VM without any slot may always run one request.
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
