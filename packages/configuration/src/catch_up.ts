/**
 * Fetches what this VM has missed from peers that are ahead of it, one peer at a time.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import type * as baselineSources from "./baseline_sources.ts";
import type * as counting from "./counters.ts";
import type * as noteChain from "./note_chain.ts";
import * as peerMessages from "./peer_messages.ts";
import type * as types from "./types.ts";

/** Least time between two attempts to load a baseline, which is large. */
const BASELINE_INTERVAL_MILLISECONDS = 2_000;

/** How a pull from one peer ended. */
type PullOutcome = "progress" | "nothing";

/** Pulls notes, or a baseline where notes are no longer kept or belong to another branch. */
export class CatchUp {
  readonly #chain: noteChain.NoteChain;
  readonly #caller: peerMessages.PeerCaller;
  readonly #baselines: baselineSources.BaselineSources;
  readonly #counters: counting.ConfigurationCounters;
  readonly #signal: AbortSignal;
  /** Peers that are ahead, with the number that they have told of. */
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

  /** Tells what is in force at a peer. If that is ahead, it is fetched in the background. */
  suggest(peer: model.VmId, identity: noteChain.NoteIdentity): void {
    this.#chain.hear(identity, peer);
    if (identity.number > this.#chain.number) {
      this.#candidates.set(peer, identity);
      this.#running ??= this.#run().finally(() => {
        this.#running = undefined;
      });
    }
  }

  /** Waits until nothing more can be fetched from the peers known to be ahead. */
  async settle(): Promise<void> {
    await this.#running;
  }

  async #run(): Promise<void> {
    // Of several messages that tell of the same note, the one that carries its text may be next.
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
   * The peer with the highest number. Where peers hold different notes under it, the lowest digest
   * decides and not the order in which they were heard.
   */
  #chooseCandidate(): model.VmId | undefined {
    let best: [model.VmId, noteChain.NoteIdentity] | undefined;
    for (const [peer, identity] of this.#candidates) {
      if (identity.number <= this.#chain.number) {
        this.#candidates.delete(peer);
      } else if (best === undefined || isBetter(identity, best[1])) {
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

function isBetter(left: noteChain.NoteIdentity, right: noteChain.NoteIdentity): boolean {
  if (left.number !== right.number) {
    return left.number > right.number;
  }
  return left.digest < right.digest;
}
