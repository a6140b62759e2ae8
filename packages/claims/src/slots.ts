/**
 * The fixed slots over which claims are spread, and the panel of slots for each key.
 *
 * Slots are numbers, the same for every VM whatever it believes of the fleet. That is what makes any
 * two majorities of a panel share a slot.
 */

import * as crypto from "node:crypto";
import * as fleet from "@hemlockwalk/fleet";
import type * as model from "@hemlockwalk/model";

/** Slots of the fleet. All VMs must have the same number. */
export const SLOTS = 64;

/** Slots that decide on one key. */
export const PANEL_SIZE = 5;

/** Votes of a panel that grant a claim; any two such sets share a slot. */
export const PANEL_MAJORITY = 3;

/** Hexadecimal digits of the digest under which a key is known. */
const KEY_DIGITS = 32;

const ALL_SLOTS = Array.from({ length: SLOTS }, (_, slot) => String(slot));

/** The digest under which the fleet knows a caller's idempotency key. */
export function createKeyHash(workspace: model.WorkspaceId, idempotencyKey: string): string {
  return crypto.createHash("sha256")
    .update(`${workspace.length} ${workspace} ${idempotencyKey}`)
    .digest("hex")
    .slice(0, KEY_DIGITS);
}

/** The slots that decide on a key. */
export function pickPanel(keyHash: string): number[] {
  return fleet.rankOwners(keyHash, ALL_SLOTS, PANEL_SIZE).map(Number);
}

/** Name of a slot as a key of the owner choice. */
export function getSlotName(slot: number): string {
  return `claim-slot ${slot}`;
}
