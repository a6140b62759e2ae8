/**
 * Whether a VM that has just started has made sure, as far as it can reach, that it is not behind.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as catchUp from "./catch_up.ts";
import type * as neighbourhood from "./neighbours.ts";
import type * as noteChain from "./note_chain.ts";
import type * as noteRelay from "./note_relay.ts";
import type * as platformFollower from "./platform_follower.ts";

/** Peers that are asked in each round. */
const PEERS_PER_ROUND = 16;

const ROUND_INTERVAL_MILLISECONDS = 250;

/** Links and the list of VMs take some time to come up; until then no answer says nothing. */
const PEER_GRACE_MILLISECONDS = 4_000;

/** What readiness is decided by; `peers` is undefined on a VM without peers. */
export interface ReadinessParts {
  readonly chain: noteChain.NoteChain;
  readonly follower: platformFollower.PlatformFollower;
  readonly peers: {
    readonly relay: noteRelay.NoteRelay;
    readonly neighbours: neighbourhood.Neighbours;
    readonly catchUp: catchUp.CatchUp;
  } | undefined;
}

/** Asks peers and the platform until the VM is at least where they are. Once ready, it stays so. */
export class Readiness {
  readonly #parts: ReadinessParts;
  #isReady = false;

  constructor(parts: ReadinessParts) {
    this.#parts = parts;
  }

  get isReady(): boolean {
    return this.#isReady;
  }

  /** Runs until the VM is ready or the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const started = kernel.getMonotonicMilliseconds();
    while (!signal.aborted) {
      const age = kernel.getMonotonicMilliseconds() - started;
      if (await this.#isCurrent(age, signal)) {
        this.#isReady = true;
        return;
      }
      await kernel.sleep(ROUND_INTERVAL_MILLISECONDS, signal);
    }
  }

  async #isCurrent(ageMilliseconds: number, signal: AbortSignal): Promise<boolean> {
    const { chain, follower } = this.#parts;
    // What is in force at a peer can't be undone any more, so peers go before the platform.
    const heard = await this.#askPeers();
    const platform = await follower.readAll(signal);
    if (chain.snapshot === undefined || signal.aborted) {
      return false;
    }
    const isPeerMissing = this.#parts.peers !== undefined && heard.length === 0;
    if (isPeerMissing && ageMilliseconds < PEER_GRACE_MILLISECONDS) {
      return false;
    }
    if (platform === "unreachable" && heard.length === 0) {
      // Nobody is left to ask; what is in force came from somewhere and is all that there is.
      return ageMilliseconds >= PEER_GRACE_MILLISECONDS;
    }
    return heard.every((number) => number <= chain.number);
  }

  /** @returns The numbers in force at the peers that answered, after what was missing came. */
  async #askPeers(): Promise<number[]> {
    const { peers } = this.#parts;
    if (peers === undefined) {
      return [];
    }
    const asked = peers.neighbours.pickRandom(PEERS_PER_ROUND);
    const numbers = await Promise.all(asked.map((peer) => peers.relay.exchange(peer)));
    await peers.catchUp.settle();
    return numbers.filter((number) => number !== undefined);
  }
}
