/**
 * One authenticated connection to another VM: frames, heartbeats, and the decision that the
 * connection no longer works.
 *
 * A heartbeat tells how many frames its sender has received, and is sent soon after frames came. So
 * each side by itself notices frames that do not arrive, whatever still comes the other way, and a
 * link that nobody uses costs nothing.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as errors from "./errors.ts";
import * as messaging from "./peer_messaging.ts";
import type * as sockets from "./peer_socket.ts";
import type * as types from "./types.ts";

/** Received frames are confirmed at such intervals. */
const HEARTBEAT_MILLISECONDS = 500;

/** How often a link looks whether its peer went silent. */
const CHECK_MILLISECONDS = 100;

/** A link on which a frame was not confirmed for so long is given up. */
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
  #sent = 0;
  #received = 0;
  #receivedConfirmed = 0;
  #sentConfirmed = 0;
  /** When the oldest frame that is not yet confirmed may have been sent. */
  #unconfirmedSince = Number.POSITIVE_INFINITY;
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
    const now = kernel.getMonotonicMilliseconds();
    this.#lastUsed = now;
    this.#sent++;
    this.#unconfirmedSince = Math.min(this.#unconfirmedSince, now);
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
      if (this.#received > this.#receivedConfirmed && now - lastBeat >= HEARTBEAT_MILLISECONDS) {
        this.#socket.send([0, this.#received]);
        this.#receivedConfirmed = this.#received;
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
    if (now - Math.max(this.#unconfirmedSince, this.#resumed) > SILENCE_LIMIT_MILLISECONDS) {
      const isHeard = now - this.#lastHeard < SILENCE_LIMIT_MILLISECONDS;
      this.end(isHeard ? "one_way" : "silent");
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
    this.#received++;
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

  #takeHeartbeat(confirmed: number, now: number): void {
    const isPossible = confirmed >= this.#sentConfirmed && confirmed <= this.#sent;
    if (!isPossible) {
      this.end("malformed");
      return;
    }
    if (confirmed > this.#sentConfirmed) {
      this.#sentConfirmed = confirmed;
      this.#unconfirmedSince = confirmed < this.#sent ? now : Number.POSITIVE_INFINITY;
    }
  }
}
