/**
 * Messages by which VMs acquire slots and claim keys.
 */

import * as fleet from "@hemlockwalk/fleet";
import type * as model from "@hemlockwalk/model";
import * as zod from "zod";
import * as slots from "./slots.ts";

/** Requests votes for slots. The response gives for each how long no other VM can have held it. */
export const VOTE_CHANNEL = fleet.createChannelName("claims.vote");
/** Returns votes. */
export const RELEASE_SLOTS_CHANNEL = fleet.createChannelName("claims.release-slots");
/** Claims a key at slots that the receiver holds. */
export const CLAIM_CHANNEL = fleet.createChannelName("claims.claim");
/** Releases a claim that was not used. */
export const RELEASE_CLAIM_CHANNEL = fleet.createChannelName("claims.release");
/** Requests the outcome of a claim from the VM that made it. */
export const OUTCOME_CHANNEL = fleet.createChannelName("claims.outcome");

const MAX_TEXT = 128;
const MAX_PERIOD = 3_600_000;

const slot = zod.number().int().min(0).max(slots.SLOT_COUNT - 1);
const slotList = zod.array(slot).max(slots.SLOT_COUNT);
const text = zod.string().min(1).max(MAX_TEXT);

const round = zod.number().int().min(0).max(Number.MAX_SAFE_INTEGER);

export const voteSchema = zod.object({
  slots: slotList,
  /** Slots that the sender already holds, so that the receivers can send claims to it. */
  held: slotList,
  lease: zod.number().positive().max(MAX_PERIOD),
  /** Number of the sender's round of votes. */
  round,
});

/**
 * For each slot of the request: milliseconds for which no other VM can have held it by a vote of
 * the responder, or null for no vote.
 */
export const voteAnswerSchema = zod.object({
  clean: zod.array(zod.number().min(0).nullable()).max(slots.SLOT_COUNT),
});

export const releaseSlotsSchema = zod.object({
  slots: slotList,
  round,
  /** The sender never held the slots that the votes were for. */
  neverHeld: zod.boolean(),
});

export const claimSchema = zod.object({
  slots: zod.array(slot).min(1).max(slots.PANEL_SIZE),
  key: text,
  fingerprint: text,
  claim: text,
  /** The claim has been granted before and is still in use. */
  isRefresh: zod.boolean(),
});

/** The claim that uses a key, and the VM that made it, as recorded at a slot. */
export interface ClaimOwner {
  readonly vm: model.VmId;
  readonly incarnation: model.Incarnation;
  readonly claim: string;
  readonly fingerprint: string;
}

const ownerSchema = zod.object({
  vm: text.transform((value) => value as model.VmId),
  incarnation: text.transform((value) => value as model.Incarnation),
  claim: text,
  fingerprint: text,
});

const slotVerdictSchema = zod.discriminatedUnion("kind", [
  zod.object({ kind: zod.literal("granted") }),
  zod.object({ kind: zod.literal("taken"), owner: ownerSchema }),
  /** The VM does not hold the slot, has not held it for long enough, or its table is full. */
  zod.object({
    kind: zod.literal("abstained"),
    waitMilliseconds: zod.number().min(0).max(MAX_PERIOD),
  }),
]);

/** Verdict of one slot on a claim. */
export type SlotVerdict = zod.output<typeof slotVerdictSchema>;

export const claimAnswerSchema = zod.object({
  verdicts: zod.array(slotVerdictSchema).max(slots.PANEL_SIZE),
});

export const releaseClaimSchema = zod.object({
  slots: zod.array(slot).max(slots.PANEL_SIZE),
  key: text,
  claim: text,
});

export const outcomeRequestSchema = zod.object({ claim: text });

const storedAnswerSchema = zod.object({
  status: zod.number().int(),
  headers: zod.array(zod.string()),
  body: zod.custom<Uint8Array>((value) => value instanceof Uint8Array),
});

export const outcomeSchema = zod.discriminatedUnion("kind", [
  /** The verdicts of the slots are still being collected. */
  zod.object({ kind: zod.literal("pending") }),
  zod.object({ kind: zod.literal("running") }),
  zod.object({ kind: zod.literal("stored"), answer: storedAnswerSchema }),
  zod.object({ kind: zod.literal("unknown") }),
  /** The request of the claim will never run. */
  zod.object({ kind: zod.literal("abandoned") }),
]);

/** Outcome of a claim, as reported by the VM that made it. */
export type ClaimOutcome = zod.output<typeof outcomeSchema>;
