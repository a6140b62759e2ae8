/**
 * The messages by which VMs exchange notes. The receiver checks each message against its schema.
 */

import * as fleet from "@hemlockwalk/fleet";
import * as model from "@hemlockwalk/model";
import * as neverthrow from "neverthrow";
import * as zod from "zod";
import type * as counting from "./counters.ts";
import type * as errors from "./errors.ts";

/** Exchanges states, so that a VM detects what it missed. A call. */
export const STATE_CHANNEL = fleet.createChannelName("configuration.state");
/** A note that has just come into force at the sender. A message without a reply. */
export const NOTE_CHANNEL = fleet.createChannelName("configuration.note");
/** Requests the notes after a number. A call. */
export const NOTES_CHANNEL = fleet.createChannelName("configuration.notes");
/** Requests a description of a baseline of the receiver's configuration. A call. */
export const BASELINE_CHANNEL = fleet.createChannelName("configuration.baseline");
/** Requests one chunk of such a baseline. A call. */
export const CHUNK_CHANNEL = fleet.createChannelName("configuration.chunk");
/** Requests the list of VMs. A call. */
export const VMS_CHANNEL = fleet.createChannelName("configuration.vms");

const number = zod.number().int().min(0).transform(model.createNoteNumber);
const digest = model.sha256.transform((value) => value as model.NoteDigest);
const text = zod.string().max(model.MAXIMUM_NOTE_BYTES);

const CALL_TIMEOUT_MILLISECONDS = 1_000;

/** Maximum number of chunks of a peer's baseline. */
const MAXIMUM_CHUNKS = 256;

export const stateSchema = zod.strictObject({
  /** 0 before the first note. */
  number,
  digest: digest.nullable(),
  /** Time since the last known contact of any VM with the platform; null if none is known. */
  platformContactAgeMilliseconds: zod.number().min(0).nullable(),
  /** Version of the list of VMs; 0 without one. */
  vmsVersion: zod.number().int().min(0),
});

/** The state that VMs exchange with each other. */
export type PeerState = zod.output<typeof stateSchema>;

export const noteSchema = zod.strictObject({
  number,
  digest,
  /** Null if the text is long; receivers that do not have the note fetch it. */
  text: text.nullable(),
});

export const notesRequestSchema = zod.strictObject({ after: number });

export const notesAnswerSchema = zod.strictObject({
  /** Empty if the replying VM does not keep the first of the requested notes. */
  notes: zod.array(zod.strictObject({ number, text })).max(4_096),
});

export const baselineAnswerSchema = zod.strictObject({
  number,
  digest,
  fleet: model.fleetSchema,
  entities: zod.number().int().min(0),
  chunkCount: zod.number().int().min(1).max(MAXIMUM_CHUNKS),
}).nullable();

/** Describes a baseline of a peer's configuration. */
export type PeerBaseline = NonNullable<zod.output<typeof baselineAnswerSchema>>;

export const chunkRequestSchema = zod.strictObject({
  digest,
  index: zod.number().int().min(0).max(MAXIMUM_CHUNKS - 1),
});

export const chunkAnswerSchema = zod.strictObject({ text: zod.string() }).nullable();

/** Checks a message or a reply against its schema, and counts it if it is malformed. */
export function checkMessage<Schema extends zod.ZodType>(
  schema: Schema,
  payload: unknown,
  kind: fleet.ChannelName,
  counters: counting.ConfigurationCounters,
): neverthrow.Result<zod.output<Schema>, errors.RelayError> {
  const checked = schema.safeParse(payload);
  if (checked.success) {
    return neverthrow.ok(checked.data);
  }
  counters.malformed.inc({ kind });
  return neverthrow.err({ kind: "malformed", detail: kind });
}

/** Calls peers and checks their replies. */
export class PeerCaller {
  readonly #network: fleet.PeerNetwork;
  readonly #counters: counting.ConfigurationCounters;

  constructor(network: fleet.PeerNetwork, counters: counting.ConfigurationCounters) {
    this.#network = network;
    this.#counters = counters;
  }

  /** Calls a peer. */
  async call<Schema extends zod.ZodType>(
    to: model.VmId,
    channel: fleet.ChannelName,
    payload: unknown,
    schema: Schema,
  ): Promise<neverthrow.Result<zod.output<Schema>, errors.RelayError>> {
    this.#counters.messages.inc({ kind: channel });
    const answer = await this.#network.call(to, channel, payload, CALL_TIMEOUT_MILLISECONDS);
    if (answer.isErr()) {
      return neverthrow.err({ kind: "unreachable", detail: answer.error.kind });
    }
    return checkMessage(schema, answer.value, channel, this.#counters);
  }

  /** Sends a message that has no reply. */
  send(to: model.VmId, channel: fleet.ChannelName, payload: unknown): void {
    this.#counters.messages.inc({ kind: channel });
    // If a message is lost, the next exchange of states reveals what the peer is missing.
    void this.#network.send(to, channel, payload);
  }
}
