/**
 * The messages by which VMs pass notes on, each checked at its receiver.
 */

import * as fleet from "@hemlockwalk/fleet";
import * as model from "@hemlockwalk/model";
import * as neverthrow from "neverthrow";
import * as zod from "zod";
import type * as counting from "./counters.ts";
import type * as errors from "./errors.ts";

/** Exchange of states, so that a VM that missed something notices. A call. */
export const STATE_CHANNEL = fleet.createChannelName("configuration.state");
/** A note that has just come into force at the sender. A plain message. */
export const NOTE_CHANNEL = fleet.createChannelName("configuration.note");
/** Asks for the notes after a number. A call. */
export const NOTES_CHANNEL = fleet.createChannelName("configuration.notes");
/** Asks for what a baseline of the sender's state consists of. A call. */
export const BASELINE_CHANNEL = fleet.createChannelName("configuration.baseline");
/** Asks for one chunk of such a baseline. A call. */
export const CHUNK_CHANNEL = fleet.createChannelName("configuration.chunk");
/** The list of VMs, or the question for it. A call. */
export const VMS_CHANNEL = fleet.createChannelName("configuration.vms");

const number = zod.number().int().min(0).transform(model.createNoteNumber);
const digest = model.sha256.transform((value) => value as model.NoteDigest);
const text = zod.string().max(model.MAXIMUM_NOTE_BYTES);

const CALL_TIMEOUT_MILLISECONDS = 1_000;

/** Most chunks of a peer's baseline. */
const MAXIMUM_CHUNKS = 256;

export const stateSchema = zod.strictObject({
  /** 0 before the first note. */
  number,
  digest: digest.nullable(),
  /** Time since any VM was known to reach the platform; null when none is known. */
  platformContactAgeMilliseconds: zod.number().min(0).nullable(),
  /** Version of the list of VMs; 0 without one. */
  vmsVersion: zod.number().int().min(0),
});

/** What VMs tell each other in turn. */
export type PeerState = zod.output<typeof stateSchema>;

export const noteSchema = zod.strictObject({
  number,
  digest,
  /** Absent where the text is long and better fetched by those who lack it. */
  text: text.nullable(),
});

export const notesRequestSchema = zod.strictObject({ after: number });

export const notesAnswerSchema = zod.strictObject({
  /** Empty when the sender no longer keeps the first of them. */
  notes: zod.array(zod.strictObject({ number, text })).max(4_096),
});

export const baselineAnswerSchema = zod.strictObject({
  number,
  digest,
  fleet: model.fleetSchema,
  entities: zod.number().int().min(0),
  chunkCount: zod.number().int().min(1).max(MAXIMUM_CHUNKS),
}).nullable();

/** What a baseline of a peer's state consists of. */
export type PeerBaseline = NonNullable<zod.output<typeof baselineAnswerSchema>>;

export const chunkRequestSchema = zod.strictObject({
  digest,
  index: zod.number().int().min(0).max(MAXIMUM_CHUNKS - 1),
});

export const chunkAnswerSchema = zod.strictObject({ text: zod.string() }).nullable();

/** Checks a message or an answer; a malformed one is counted. */
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

/** Calls peers and checks their answers. */
export class PeerCaller {
  readonly #network: fleet.PeerNetwork;
  readonly #counters: counting.ConfigurationCounters;

  constructor(network: fleet.PeerNetwork, counters: counting.ConfigurationCounters) {
    this.#network = network;
    this.#counters = counters;
  }

  /** Asks a peer. */
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

  /** Sends a message that is not answered. */
  send(to: model.VmId, channel: fleet.ChannelName, payload: unknown): void {
    this.#counters.messages.inc({ kind: channel });
    // A message that is lost is made up for by the next exchange of states.
    void this.#network.send(to, channel, payload);
  }
}
