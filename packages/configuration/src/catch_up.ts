/**
 * Fetches missing notes from peers that are ahead of this VM, from one peer at a time.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import type * as baselineSources from "./baseline_sources.ts";
import type * as counting from "./counters.ts";
import type * as noteChain from "./note_chain.ts";
import * as peerMessages from "./peer_messages.ts";
import type * as types from "./types.ts";

/** Minimum time between two attempts to load a baseline, because baselines are large. */
const BASELINE_INTERVAL_MILLISECONDS = 2_000;

/** Outcome of a pull from one peer. */
type PullOutcome = "progress" | "nothing";

/**
 * Pulls notes from peers. Loads a baseline instead if the peer no longer keeps the notes or if they
 * belong to another branch of a fork.
 */
export class CatchUp {
  readonly #chain: noteChain.NoteChain;
  readonly #caller: peerMessages.PeerCaller;
  readonly #baselines: baselineSources.BaselineSources;
  readonly #counters: counting.ConfigurationCounters;
  readonly #signal: AbortSignal;
  /** Peers that are ahead, with the newest note that they reported. */
  readonly #candidates = new Map<model.VmId, noteChain.NoteIdentity>();
  #running: Promise<void> | undefined;
  #nextBaselineMilliseconds = Number.NEGATIVE_INFINITY;

  constructor(
    chain: noteChain.NoteChain,
    caller: peerMessages.PeerCaller,
    baselines: baselineSources.BaselineSources,
    counters: counting.ConfigurationCounters,
    signal: AbortSignal,
  ) {
    this.#chain = chain;
    this.#caller = caller;
    this.#baselines = baselines;
    this.#counters = counters;
    this.#signal = signal;
  }

  /** Records the note in force at a peer, and fetches it in the background if it is newer. */
  addCandidate(peer: model.VmId, identity: noteChain.NoteIdentity): void {
    this.#chain.recordReport(identity, peer);
    if (identity.number > this.#chain.number) {
      this.#candidates.set(peer, identity);
      this.#running ??= this.#run().finally(() => {
        this.#running = undefined;
      });
    }
  }

  /** Waits until nothing more can be fetched from the peers that are known to be ahead. */
  async waitUntilIdle(): Promise<void> {
    await this.#running;
  }

  async #run(): Promise<void> {
    // The next message may carry the text of the note, which then need not be pulled.
    await Promise.resolve();
    while (!this.#signal.aborted) {
      const peer = this.#chooseCandidate();
      if (peer === undefined) {
        return;
      }
      const outcome = await this.#pull(peer);
      this.#counters.pulls.inc({ outcome });
      if (outcome === "nothing") {
        this.#candidates.delete(peer);
      }
    }
  }

  /**
   * Returns the peer with the highest number. If peers hold different notes with that number, the
   * lowest digest wins, so that the choice does not depend on the order of their reports.
   */
  #chooseCandidate(): model.VmId | undefined {
    let best: [model.VmId, noteChain.NoteIdentity] | undefined;
    for (const [peer, identity] of this.#candidates) {
      if (identity.number <= this.#chain.number) {
        this.#candidates.delete(peer);
      } else if (best === undefined || isPreferred(identity, best[1])) {
        best = [peer, identity];
      }
    }
    return best?.[0];
  }

  async #pull(peer: model.VmId): Promise<PullOutcome> {
    const before = this.#chain.number;
    const outcome = await this.#pullNotes(peer);
    if (this.#chain.number > before) {
      return "progress";
    }
    const now = kernel.getMonotonicMilliseconds();
    if (outcome === "unreachable" || now < this.#nextBaselineMilliseconds) {
      return "nothing";
    }
    this.#nextBaselineMilliseconds = now + BASELINE_INTERVAL_MILLISECONDS;
    const isLoaded = await this.#baselines.loadFromPlatform(this.#signal) ||
      await this.#baselines.loadFromPeer(this.#caller, peer);
    return isLoaded || this.#chain.number > before ? "progress" : "nothing";
  }

  async #pullNotes(peer: model.VmId): Promise<types.OfferOutcome | "unreachable" | "gone"> {
    const answer = await this.#caller.call(
      peer,
      peerMessages.NOTES_CHANNEL,
      { after: this.#chain.number },
      peerMessages.notesAnswerSchema,
    );
    if (answer.isErr()) {
      return "unreachable";
    }
    let outcome: types.OfferOutcome | "gone" = "gone";
    for (const { number, text } of answer.value.notes) {
      outcome = await this.#chain.offerNote(number, text, peer);
      if (outcome !== "applied" && outcome !== "known") {
        return outcome;
      }
    }
    return outcome;
  }
}

function isPreferred(left: noteChain.NoteIdentity, right: noteChain.NoteIdentity): boolean {
  if (left.number !== right.number) {
    return left.number > right.number;
  }
  return left.digest < right.digest;
}
