/**
 * Which slots of a service's targets belong to this VM.
 *
 * The slots are dealt out to the VMs in turn, those of a data centre to its own VMs where each data
 * centre with VMs has targets. VMs with the same view of the fleet deal alike, without a message, so
 * that requests in own slots never add up to more than a target's slots.
 */

import type * as fleet from "@hemlockwalk/fleet";
import type * as model from "@hemlockwalk/model";

/** Who is dealt slots. */
export type SlotHolder = Pick<fleet.Member, "vm" | "dataCentre">;

/** Number of own slots by target; targets without any are absent. */
export function dealSlots(
  self: model.VmId,
  holders: readonly SlotHolder[],
  targets: readonly model.Target[],
  slots: number,
): Map<model.TargetId, number> {
  const own = new Map<model.TargetId, number>();
  const places = new Set(targets.map((target) => target.dataCentre));
  const separate = holders.every((holder) => places.has(holder.dataCentre));
  const dealt = new Map<string, number>();
  for (const target of targets) {
    // Targets where there are no VMs are dealt to all.
    const near = separate
      ? holders.filter((holder) => holder.dataCentre === target.dataCentre)
      : [];
    const receivers = near.length > 0 ? near : holders;
    const place = near.length > 0 ? target.dataCentre : "";
    for (let slot = 0; slot < slots; slot++) {
      const position = dealt.get(place) ?? 0;
      dealt.set(place, position + 1);
      if (receivers[position % receivers.length]?.vm === self) {
        own.set(target.id, (own.get(target.id) ?? 0) + 1);
      }
    }
  }
  return own;
}
