/**
 * Decides when a VM that has just started is ready: when it has verified that its configuration is
 * up to date, as far as the peers and the platform are reachable.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as catchUp from "./catch_up.ts";
import type * as neighbourhood from "./neighbours.ts";
import type * as noteChain from "./note_chain.ts";
import type * as noteRelay from "./note_relay.ts";
import type * as platformFollower from "./platform_follower.ts";

/** Number of peers that are called in each round. */
const PEERS_PER_ROUND = 16;

const ROUND_INTERVAL_MILLISECONDS = 250;

/**
 * Links and the list of VMs take some time to be established. During this time, the absence of
 * replies does not mean that no peer is reachable.
 */
const PEER_GRACE_MILLISECONDS = 4_000;

/** Dependencies of the readiness check; `peers` is undefined on a VM without peers. */
export interface ReadinessDependencies {
  readonly chain: noteChain.NoteChain;
  readonly follower: platformFollower.PlatformFollower;
  readonly peers: {
    readonly relay: noteRelay.NoteRelay;
    readonly neighbours: neighbourhood.Neighbours;
    readonly catchUp: catchUp.CatchUp;
  } | undefined;
}

/**
 * Compares the VM with peers and the platform until it has every note that they have. A VM that is
 * ready stays ready.
 */
export class Readiness {
  readonly #dependencies: ReadinessDependencies;
  #isReady = false;

  constructor(dependencies: ReadinessDependencies) {
    this.#dependencies = dependencies;
  }

  get isReady(): boolean {
    return this.#isReady;
  }

  /** Runs until the VM is ready or the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const started = kernel.getMonotonicMilliseconds();
    while (!signal.aborted) {
      const elapsed = kernel.getMonotonicMilliseconds() - started;
      if (await this.#isCurrent(elapsed, signal)) {
        this.#isReady = true;
        return;
      }
      await kernel.sleep(ROUND_INTERVAL_MILLISECONDS, signal);
    }
  }

  async #isCurrent(elapsedMilliseconds: number, signal: AbortSignal): Promise<boolean> {
    const { chain, follower } = this.#dependencies;
    // A note in force at a peer cannot be revoked, so peers take precedence over the platform.
    const peerNumbers = await this.#exchangeWithPeers();
    const platform = await follower.readAll(signal);
    if (chain.snapshot === undefined || signal.aborted) {
      return false;
    }
    const isReplyMissing = this.#dependencies.peers !== undefined && peerNumbers.length === 0;
    if (isReplyMissing && elapsedMilliseconds < PEER_GRACE_MILLISECONDS) {
      return false;
    }
    if (platform === "unreachable" && peerNumbers.length === 0) {
      // Neither peers nor the platform are reachable: the VM uses the configuration that it has.
      return elapsedMilliseconds >= PEER_GRACE_MILLISECONDS;
    }
    return peerNumbers.every((number) => number <= chain.number);
  }

  /**
   * Exchanges states with random peers and waits until the missing notes have been fetched.
   *
   * @returns The numbers in force at the peers that replied.
   */
  async #exchangeWithPeers(): Promise<number[]> {
    const { peers } = this.#dependencies;
    if (peers === undefined) {
      return [];
    }
    const called = peers.neighbours.pickRandom(PEERS_PER_ROUND);
    const numbers = await Promise.all(called.map((peer) => peers.relay.exchange(peer)));
    await peers.catchUp.waitUntilIdle();
    return numbers.filter((number) => number !== undefined);
  }
}
