/**
 * One authenticated connection to another VM: frames, heartbeats in both directions, and the
 * decision that the connection no longer works.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as errors from "./errors.ts";
import * as messaging from "./peer_messaging.ts";
import type * as sockets from "./peer_socket.ts";
import type * as types from "./types.ts";

const HEARTBEAT_MILLISECONDS = 500;

/** How often a link looks whether its peer went silent. */
const CHECK_MILLISECONDS = 100;

/** A link on which nothing came for so long is given up. */
export const SILENCE_LIMIT_MILLISECONDS = 1_700;

/** A check this late shows that this VM was paused, so that its own silence proves nothing. */
const PAUSE_MILLISECONDS = 250;

/** A link that carried no frame but heartbeats for so long is closed. */
export const IDLE_LIMIT_MILLISECONDS = 60_000;

const KIND_CODES = ["heartbeat", "message", "call", "answer", "failure"] as const;

/** What a link tells its owner. */
export interface LinkOwner {
  onFrame(link: PeerLink, frame: unknown): void;
}

/** Turns a frame into the short array that travels. */
export function encodeFrame(frame: messaging.Frame): unknown[] {
  return [KIND_CODES.indexOf(frame.kind), frame.channel, frame.callId, frame.payload];
}

/** One link. Its task is {@link PeerLink.run}. */
export class PeerLink {
  readonly peer: types.VmIdentity;
  /** Whether this VM opened the connection. */
  readonly isDialled: boolean;
  readonly #socket: sockets.PeerSocket;
  readonly #owner: LinkOwner;
  readonly #stopping = new AbortController();
  #end: errors.LinkEnd | undefined;
  #lastHeard: number;
  #lastUsed: number;
  #resumed = Number.NEGATIVE_INFINITY;

  constructor(
    peer: types.VmIdentity,
    isDialled: boolean,
    socket: sockets.PeerSocket,
    owner: LinkOwner,
  ) {
    this.peer = peer;
    this.isDialled = isDialled;
    this.#socket = socket;
    this.#owner = owner;
    this.#lastHeard = kernel.getMonotonicMilliseconds();
    this.#lastUsed = this.#lastHeard;
  }

  /** Whether the link takes frames. */
  get isOpen(): boolean {
    return this.#end === undefined && !this.#socket.isClosed;
  }

  /** Bytes that wait to be sent. */
  get queuedBytes(): number {
    return this.#socket.queuedBytes;
  }

  /** Sends an encoded frame. */
  sendEncoded(bytes: Buffer): void {
    this.#lastUsed = kernel.getMonotonicMilliseconds();
    this.#socket.sendEncoded(bytes);
  }

  /** Ends the link. */
  end(reason: errors.LinkEnd): void {
    this.#end ??= reason;
    this.#stopping.abort();
  }

  /** Serves the link until it ends. */
  async run(): Promise<errors.LinkEnd> {
    void this.#socket.closed.then(() => this.end("closed_by_peer"));
    this.#socket.listen((message) => this.#take(message));
    let lastBeat = Number.NEGATIVE_INFINITY;
    while (this.#end === undefined) {
      const now = kernel.getMonotonicMilliseconds();
      if (now - lastBeat >= HEARTBEAT_MILLISECONDS) {
        this.#socket.send([0, Math.round(now - this.#lastHeard)]);
        lastBeat = now;
      }
      await kernel.sleep(CHECK_MILLISECONDS, this.#stopping.signal);
      this.#check(now);
    }
    this.#socket.terminate();
    return this.#end;
  }

  #check(before: number): void {
    const now = kernel.getMonotonicMilliseconds();
    if (now - before - CHECK_MILLISECONDS > PAUSE_MILLISECONDS) {
      // What came during the pause has yet to be read.
      this.#resumed = now;
    }
    if (now - Math.max(this.#lastHeard, this.#resumed) > SILENCE_LIMIT_MILLISECONDS) {
      this.end("silent");
    } else if (now - this.#lastUsed > IDLE_LIMIT_MILLISECONDS) {
      this.end("idle");
    }
  }

  #take(message: unknown): void {
    const now = kernel.getMonotonicMilliseconds();
    this.#lastHeard = now;
    if (!Array.isArray(message)) {
      this.end("malformed");
      return;
    }
    const kind = KIND_CODES[Number(message[0])];
    if (kind === "heartbeat") {
      this.#takeHeartbeat(Number(message[1]), now);
      return;
    }
    this.#lastUsed = now;
    const frame = {
      version: messaging.FRAME_VERSION,
      kind,
      channel: message[1] as unknown,
      callId: message[2] as unknown,
      payload: message[3] as unknown,
    };
    this.#owner.onFrame(this, frame);
  }

  #takeHeartbeat(silenceMilliseconds: number, now: number): void {
    // After an own pause the peer has rightly heard nothing for a while.
    const wasPaused = now - this.#resumed < SILENCE_LIMIT_MILLISECONDS;
    if (silenceMilliseconds > 2 * HEARTBEAT_MILLISECONDS + CHECK_MILLISECONDS && !wasPaused) {
      this.end("one_way");
    }
  }
}
