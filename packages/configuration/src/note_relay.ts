/**
 * Relays notes between VMs. A VM pushes each note as soon as it is in force; periodic exchanges of
 * states repair lost pushes.
 */

import type * as fleet from "@hemlockwalk/fleet";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as baselines from "./baseline.ts";
import type * as catchUp from "./catch_up.ts";
import type * as counting from "./counters.ts";
import type * as neighbourhood from "./neighbours.ts";
import type * as noteChain from "./note_chain.ts";
import * as peerMessages from "./peer_messages.ts";
import type * as platformContact from "./platform_contact.ts";
import * as slices from "./slices.ts";
import type * as snapshots from "./snapshot.ts";
import type * as types from "./types.ts";

const EXCHANGE_INTERVAL_MILLISECONDS = 1_000;
const EXCHANGE_PARTNERS = 2;

/** Longer texts are not pushed; VMs that do not have them fetch them. */
const MAXIMUM_PUSHED_BYTES = 16_384;

/** Maximum total size of the texts of notes in one reply. */
const MAXIMUM_ANSWER_BYTES = 262_144;

/** How long a configuration stays available to peers that load it as a baseline. */
const SERVED_SNAPSHOT_LIFETIME_MILLISECONDS = 60_000;

interface ServedSnapshot {
  readonly snapshot: snapshots.TableSnapshot;
  readonly untilMilliseconds: number;
}

/** Dependencies of a relay. */
export interface RelayDependencies {
  readonly chain: noteChain.NoteChain;
  readonly network: fleet.PeerNetwork;
  readonly caller: peerMessages.PeerCaller;
  readonly neighbours: neighbourhood.Neighbours;
  readonly catchUp: catchUp.CatchUp;
  readonly contact: platformContact.PlatformContact;
  readonly counters: counting.ConfigurationCounters;
  /** Returns the version of this VM's list of VMs; 0 without one. */
  readonly getVmsVersion: () => number;
  /** Called with the version of a peer's list of VMs. */
  readonly onVmsVersion: (peer: model.VmId, version: number) => void;
}

/** The relay of one VM. */
export class NoteRelay {
  readonly #dependencies: RelayDependencies;
  readonly #served = new Map<model.NoteDigest, ServedSnapshot>();
  #nextPartner = 0;

  constructor(dependencies: RelayDependencies) {
    this.#dependencies = dependencies;
    dependencies.chain.onAccepted((change, origin) => this.#push(change.current, origin));
  }

  /** Registers the handlers for messages from peers. */
  listen(): void {
    const { network } = this.#dependencies;
    network.handle(peerMessages.STATE_CHANNEL, (message) => this.#handleState(message));
    network.handle(peerMessages.NOTE_CHANNEL, (message) => this.#handleNote(message));
    network.handle(peerMessages.NOTES_CHANNEL, (message) => this.#answerNotes(message));
    network.handle(peerMessages.BASELINE_CHANNEL, () => this.#answerBaseline());
    network.handle(peerMessages.CHUNK_CHANNEL, (message) => this.#answerChunk(message));
  }

  /** Exchanges states with the neighbours in turn until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const neighbours = this.#dependencies.neighbours.list();
      for (let count = 0; count < Math.min(EXCHANGE_PARTNERS, neighbours.length); count++) {
        const partner = neighbours[this.#nextPartner % neighbours.length];
        this.#nextPartner++;
        void this.exchange(kernel.getDefined(partner, "The index is within the list."));
      }
      const jitter = 0.8 + Math.random() * 0.4;
      await kernel.sleep(EXCHANGE_INTERVAL_MILLISECONDS * jitter, signal);
    }
  }

  /**
   * Exchanges states with a peer, and starts to fetch what the peer has and this VM does not.
   *
   * @returns The number in force at the peer; undefined if the peer did not reply.
   */
  async exchange(peer: model.VmId): Promise<number | undefined> {
    const answer = await this.#dependencies.caller.call(
      peer,
      peerMessages.STATE_CHANNEL,
      this.#getState(),
      peerMessages.stateSchema,
    );
    if (answer.isErr()) {
      return undefined;
    }
    this.#recordPeerState(peer, answer.value);
    return answer.value.number;
  }

  #push(current: types.Snapshot, origin: types.Origin): void {
    const { number, digest } = current;
    const bytes = this.#dependencies.chain.tail.get(number)?.bytes;
    const isShort = bytes !== undefined && bytes.length <= MAXIMUM_PUSHED_BYTES;
    const text = isShort ? bytes.toString() : null;
    for (const peer of this.#dependencies.neighbours.list()) {
      if (peer !== origin) {
        this.#dependencies.caller.send(peer, peerMessages.NOTE_CHANNEL, { number, digest, text });
      }
    }
  }

  #getState(): peerMessages.PeerState {
    const { chain, contact } = this.#dependencies;
    return {
      number: model.createNoteNumber(chain.number),
      digest: chain.snapshot?.digest ?? null,
      platformContactAgeMilliseconds: contact.ageMilliseconds ?? null,
      vmsVersion: this.#dependencies.getVmsVersion(),
    };
  }

  #recordPeerState(peer: model.VmId, state: peerMessages.PeerState): void {
    const { number, digest, platformContactAgeMilliseconds } = state;
    if (platformContactAgeMilliseconds !== null) {
      this.#dependencies.contact.record(platformContactAgeMilliseconds);
    }
    this.#dependencies.onVmsVersion(peer, state.vmsVersion);
    if (digest !== null) {
      this.#dependencies.catchUp.addCandidate(peer, { number, digest });
    }
  }

  #handleState(message: fleet.PeerMessage): peerMessages.PeerState {
    const state = this.#check(peerMessages.stateSchema, message);
    if (state.isOk()) {
      this.#recordPeerState(message.from.vm, state.value);
    }
    return this.#getState();
  }

  async #handleNote(message: fleet.PeerMessage): Promise<void> {
    const note = this.#check(peerMessages.noteSchema, message);
    if (note.isErr()) {
      return;
    }
    const { number, digest, text } = note.value;
    const peer = message.from.vm;
    const { chain } = this.#dependencies;
    if (digest === chain.snapshot?.digest) {
      return;
    }
    if (text !== null && model.createNoteDigest(text) !== digest) {
      this.#dependencies.counters.malformed.inc({ kind: message.channel });
      return;
    }
    if (text !== null && number === chain.number + 1) {
      await chain.offerNote(number, text, peer);
    }
    this.#dependencies.catchUp.addCandidate(peer, { number, digest });
  }

  #answerNotes(message: fleet.PeerMessage) {
    const request = this.#check(peerMessages.notesRequestSchema, message);
    const kept = request.isErr()
      ? undefined
      : this.#dependencies.chain.tail.listAfter(request.value.after, MAXIMUM_ANSWER_BYTES);
    const notes = (kept ?? []).map((note) => ({
      number: note.number,
      text: note.bytes.toString(),
    }));
    return { notes };
  }

  #answerBaseline(): object | null {
    const { snapshot } = this.#dependencies.chain;
    if (snapshot === undefined) {
      return null;
    }
    const now = kernel.getMonotonicMilliseconds();
    for (const [digest, served] of this.#served) {
      if (served.untilMilliseconds < now) {
        this.#served.delete(digest);
      }
    }
    const untilMilliseconds = now + SERVED_SNAPSHOT_LIFETIME_MILLISECONDS;
    this.#served.set(snapshot.digest, { snapshot, untilMilliseconds });
    const { number, digest, fleet, size } = snapshot;
    const chunkCount = baselines.getChunkCount(size);
    return { number, digest, fleet, entities: size, chunkCount };
  }

  async #answerChunk(message: fleet.PeerMessage): Promise<object | null> {
    const request = this.#check(peerMessages.chunkRequestSchema, message);
    const served = request.isErr() ? undefined : this.#served.get(request.value.digest);
    if (request.isErr() || served === undefined) {
      return null;
    }
    const chunkCount = baselines.getChunkCount(served.snapshot.size);
    const steps = baselines.renderChunkInSteps(served.snapshot, request.value.index, chunkCount);
    return request.value.index < chunkCount ? { text: await slices.runInSlices(steps) } : null;
  }

  #check<Schema extends Parameters<typeof peerMessages.checkMessage>[0]>(
    schema: Schema,
    message: fleet.PeerMessage,
  ) {
    return peerMessages.checkMessage(
      schema,
      message.payload,
      message.channel,
      this.#dependencies.counters,
    );
  }
}
