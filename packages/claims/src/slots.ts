/**
 * The fixed slots among which keys are distributed, and the panel of slots for each key.
 *
 * Slots are numbers that do not depend on a VM's view of the fleet. So all VMs use the same panel
 * for a key, and any two majorities of it share a slot.
 */

import * as crypto from "node:crypto";
import * as fleet from "@hemlockwalk/fleet";
import type * as model from "@hemlockwalk/model";

/** Number of slots in the fleet. It must be the same for all VMs. */
export const SLOT_COUNT = 64;

/** Number of slots that decide on one key. */
export const PANEL_SIZE = 5;

/** Number of slots of a panel that must grant a claim; any two such sets share a slot. */
export const PANEL_MAJORITY = 3;

/** Hexadecimal digits of the digest that identifies a key. */
const KEY_DIGITS = 32;

const ALL_SLOTS = Array.from({ length: SLOT_COUNT }, (_, slot) => String(slot));

/** Returns the digest that identifies a caller's idempotency key in the fleet. */
export function createKeyHash(workspace: model.WorkspaceId, idempotencyKey: string): string {
  return crypto.createHash("sha256")
    .update(`${workspace.length} ${workspace} ${idempotencyKey}`)
    .digest("hex")
    .slice(0, KEY_DIGITS);
}

/** Returns the slots that decide on a key. */
export function pickPanel(keyHash: string): number[] {
  return fleet.rankOwners(keyHash, ALL_SLOTS, PANEL_SIZE).map(Number);
}

/** Key under which a slot's preferred owner is selected by rendezvous hashing. */
export function getSlotName(slot: number): string {
  return `claim-slot ${slot}`;
}
