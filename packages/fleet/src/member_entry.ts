/**
 * Entries that VMs exchange about the state of one VM, and the order in which they override each
 * other.
 */

import type * as model from "@hemlockwalk/model";
import * as zod from "zod";
import * as rendezvous from "./rendezvous.ts";

/** States of health. At the same incarnation and counter, a later one overrides an earlier one. */
export const HEALTH_STATES = ["live", "suspect", "dead"] as const;

export type Health = typeof HEALTH_STATES[number];

/** The state of a VM as one VM reports it to others. */
export interface MemberEntry {
  readonly vm: model.VmId;
  readonly incarnation: model.Incarnation;
  /** Incremented only by the VM itself, to override entries of others about it. */
  readonly counter: number;
  readonly address: string;
  readonly dataCentre: model.DataCentreId;
  readonly isLeaving: boolean;
  readonly health: Health;
}

/** Whether an entry overrides an earlier one about the same VM. */
export function overrides(entry: MemberEntry, earlier: MemberEntry): boolean {
  if (entry.incarnation !== earlier.incarnation) {
    return entry.incarnation > earlier.incarnation;
  }
  if (entry.counter !== earlier.counter) {
    return entry.counter > earlier.counter;
  }
  return HEALTH_STATES.indexOf(entry.health) > HEALTH_STATES.indexOf(earlier.health);
}

/** Hash of an entry for the digest of a table. Entries of dead VMs do not change the digest. */
export function hashEntry(entry: MemberEntry): number {
  if (entry.health === "dead") {
    return 0;
  }
  const { vm, incarnation, counter, isLeaving, health } = entry;
  return rendezvous.hashText(`${vm} ${incarnation} ${counter} ${isLeaving} ${health}`);
}

/** Compact form of an entry on the wire. */
export type EncodedEntry = readonly [string, string, number, string, string, number];

const LEAVING_FLAG = 4;
const MAX_TEXT = 128;

/** Encodes an entry for the wire. */
export function encodeEntry(entry: MemberEntry): EncodedEntry {
  const flags = HEALTH_STATES.indexOf(entry.health) + (entry.isLeaving ? LEAVING_FLAG : 0);
  return [entry.vm, entry.incarnation, entry.counter, entry.address, entry.dataCentre, flags];
}

/** Schema of an entry received from another VM. */
export const entrySchema = zod.tuple([
  zod.string().min(1).max(MAX_TEXT),
  zod.string().min(1).max(MAX_TEXT),
  zod.number().int().min(0).max(Number.MAX_SAFE_INTEGER),
  zod.string().max(MAX_TEXT),
  zod.string().min(1).max(MAX_TEXT),
  zod.number().int().min(0).max(LEAVING_FLAG + HEALTH_STATES.length - 1)
    .refine((flags) => flags % LEAVING_FLAG < HEALTH_STATES.length),
]).transform(([vm, incarnation, counter, address, dataCentre, flags]): MemberEntry => ({
  vm: vm as model.VmId,
  incarnation: incarnation as model.Incarnation,
  counter,
  address,
  dataCentre: dataCentre as model.DataCentreId,
  isLeaving: flags >= LEAVING_FLAG,
  health: HEALTH_STATES[flags % LEAVING_FLAG] ?? "suspect",
}));
