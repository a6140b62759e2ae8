/**
 * Allocates the slots of a service's targets to VMs.
 *
 * The slots are allocated to the VMs in turn. If every data centre with VMs has targets, the slots
 * of a data centre go to its own VMs. VMs with the same view of the fleet compute the same
 * allocation without exchanging messages, so that the requests in own slots never exceed the slots
 * of a target.
 */

import type * as fleet from "@hemlockwalk/fleet";
import type * as model from "@hemlockwalk/model";

/** A VM to which slots are allocated. */
export type SlotHolder = Pick<fleet.Member, "vm" | "dataCentre">;

/** Number of slots allocated to `self`, by target. Targets without any are absent. */
export function allocateSlots(
  self: model.VmId,
  holders: readonly SlotHolder[],
  targets: readonly model.Target[],
  slots: number,
): Map<model.TargetId, number> {
  const own = new Map<model.TargetId, number>();
  const targetDataCentres = new Set(targets.map((target) => target.dataCentre));
  const isPerDataCentre = holders.every((holder) => targetDataCentres.has(holder.dataCentre));
  const positions = new Map<string, number>();
  for (const target of targets) {
    // The slots of a data centre without VMs are allocated to all VMs.
    const nearHolders = isPerDataCentre
      ? holders.filter((holder) => holder.dataCentre === target.dataCentre)
      : [];
    const receivers = nearHolders.length > 0 ? nearHolders : holders;
    const group = nearHolders.length > 0 ? target.dataCentre : "";
    for (let slot = 0; slot < slots; slot++) {
      const position = positions.get(group) ?? 0;
      positions.set(group, position + 1);
      if (receivers[position % receivers.length]?.vm === self) {
        own.set(target.id, (own.get(target.id) ?? 0) + 1);
      }
    }
  }
  return own;
}
