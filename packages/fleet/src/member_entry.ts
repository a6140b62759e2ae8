/**
 * What VMs tell each other about one VM, and which of two such statements holds.
 */

import type * as model from "@hemlockwalk/model";
import * as zod from "zod";
import * as rendezvous from "./rendezvous.ts";

/** Health in the order in which it overrides, at the same incarnation and counter. */
export const HEALTHS = ["live", "suspect", "dead"] as const;

export type Health = typeof HEALTHS[number];

/** A statement about a VM. */
export interface MemberEntry {
  readonly vm: model.VmId;
  readonly incarnation: model.Incarnation;
  /** Raised by the VM itself alone, to override what others said of it. */
  readonly counter: number;
  readonly address: string;
  readonly dataCentre: model.DataCentreId;
  readonly isLeaving: boolean;
  readonly health: Health;
}

/** Whether a statement overrides an earlier one about the same VM. */
export function overrides(entry: MemberEntry, earlier: MemberEntry): boolean {
  if (entry.incarnation !== earlier.incarnation) {
    return entry.incarnation > earlier.incarnation;
  }
  if (entry.counter !== earlier.counter) {
    return entry.counter > earlier.counter;
  }
  return HEALTHS.indexOf(entry.health) > HEALTHS.indexOf(earlier.health);
}

/** Contribution of an entry to the digest of a view; entries of dead VMs contribute nothing. */
export function hashEntry(entry: MemberEntry): number {
  if (entry.health === "dead") {
    return 0;
  }
  const { vm, incarnation, counter, isLeaving, health } = entry;
  return rendezvous.hashText(`${vm} ${incarnation} ${counter} ${isLeaving} ${health}`);
}

/** The short array in which an entry travels. */
export type EncodedEntry = readonly [string, string, number, string, string, number];

const LEAVING_FLAG = 4;
const MAX_TEXT = 128;

/** Turns an entry into the array that travels. */
export function encodeEntry(entry: MemberEntry): EncodedEntry {
  const flags = HEALTHS.indexOf(entry.health) + (entry.isLeaving ? LEAVING_FLAG : 0);
  return [entry.vm, entry.incarnation, entry.counter, entry.address, entry.dataCentre, flags];
}

/** Schema of an entry that came from another VM. */
export const entrySchema = zod.tuple([
  zod.string().min(1).max(MAX_TEXT),
  zod.string().min(1).max(MAX_TEXT),
  zod.number().int().min(0).max(Number.MAX_SAFE_INTEGER),
  zod.string().max(MAX_TEXT),
  zod.string().min(1).max(MAX_TEXT),
  zod.number().int().min(0).max(LEAVING_FLAG + HEALTHS.length - 1)
    .refine((flags) => flags % LEAVING_FLAG < HEALTHS.length),
]).transform(([vm, incarnation, counter, address, dataCentre, flags]): MemberEntry => ({
  vm: vm as model.VmId,
  incarnation: incarnation as model.Incarnation,
  counter,
  address,
  dataCentre: dataCentre as model.DataCentreId,
  isLeaving: flags >= LEAVING_FLAG,
  health: HEALTHS[flags % LEAVING_FLAG] ?? "suspect",
}));
