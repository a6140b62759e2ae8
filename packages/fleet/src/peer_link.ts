/**
 * One authenticated connection to another VM: frames, heartbeats, and the detection of a connection
 * that no longer works.
 *
 * A heartbeat reports how many frames its sender has received. It is sent soon after frames arrive.
 * So each side detects on its own that its frames do not arrive, even while it still receives
 * frames, and an unused link causes no traffic.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as errors from "./errors.ts";
import * as messaging from "./peer_messaging.ts";
import type * as sockets from "./peer_socket.ts";
import type * as types from "./types.ts";

/** Interval at which received frames are acknowledged. */
const HEARTBEAT_INTERVAL_MILLISECONDS = 500;

/** Interval at which a link checks for missing acknowledgements. */
const CHECK_INTERVAL_MILLISECONDS = 100;

/** A link is ended if a frame has not been acknowledged for this long. */
export const ACKNOWLEDGEMENT_TIMEOUT_MILLISECONDS = 1_700;

/** A check that is this late shows that this VM was paused, so the peer is not held responsible. */
const PAUSE_THRESHOLD_MILLISECONDS = 250;

/** A link that carried no frames except heartbeats for this long is closed. */
export const IDLE_TIMEOUT_MILLISECONDS = 60_000;

const KIND_CODES = ["heartbeat", "message", "call", "answer", "failure"] as const;

/** Receives the frames of a link. */
export interface LinkOwner {
  onFrame(link: PeerLink, frame: unknown): void;
}

/** Converts a frame to the compact array that is sent. */
export function encodeFrame(frame: messaging.Frame): unknown[] {
  return [KIND_CODES.indexOf(frame.kind), frame.channel, frame.callId, frame.payload];
}

/** One link. The owner calls {@link PeerLink.run} to operate it. */
export class PeerLink {
  readonly peer: types.VmIdentity;
  /** Whether this VM opened the connection. */
  readonly isDialled: boolean;
  readonly #socket: sockets.PeerSocket;
  readonly #owner: LinkOwner;
  readonly #stopping = new AbortController();
  #end: errors.LinkEnd | undefined;
  #lastReceivedAt: number;
  #lastUsedAt: number;
  #sent = 0;
  #received = 0;
  #receivedAcknowledged = 0;
  #sentAcknowledged = 0;
  /** Earliest time at which the oldest unacknowledged frame may have been sent. */
  #unacknowledgedSince = Number.POSITIVE_INFINITY;
  #resumedAt = Number.NEGATIVE_INFINITY;

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
    this.#lastReceivedAt = kernel.getMonotonicMilliseconds();
    this.#lastUsedAt = this.#lastReceivedAt;
  }

  /** Whether frames can be sent on the link. */
  get isOpen(): boolean {
    return this.#end === undefined && !this.#socket.isClosed;
  }

  /** Bytes queued to be sent. */
  get queuedBytes(): number {
    return this.#socket.queuedBytes;
  }

  /** Sends an encoded frame. */
  sendEncoded(bytes: Buffer): void {
    const now = kernel.getMonotonicMilliseconds();
    this.#lastUsedAt = now;
    this.#sent++;
    this.#unacknowledgedSince = Math.min(this.#unacknowledgedSince, now);
    this.#socket.sendEncoded(bytes);
  }

  /** Ends the link. */
  end(reason: errors.LinkEnd): void {
    this.#end ??= reason;
    this.#stopping.abort();
  }

  /** Operates the link until it ends. */
  async run(): Promise<errors.LinkEnd> {
    void this.#socket.closed.then(() => this.end("closed_by_peer"));
    this.#socket.listen((message) => this.#handleMessage(message));
    let lastHeartbeatAt = Number.NEGATIVE_INFINITY;
    while (this.#end === undefined) {
      const now = kernel.getMonotonicMilliseconds();
      if (
        this.#received > this.#receivedAcknowledged &&
        now - lastHeartbeatAt >= HEARTBEAT_INTERVAL_MILLISECONDS
      ) {
        this.#socket.send([0, this.#received]);
        this.#receivedAcknowledged = this.#received;
        lastHeartbeatAt = now;
      }
      await kernel.sleep(CHECK_INTERVAL_MILLISECONDS, this.#stopping.signal);
      this.#check(now);
    }
    this.#socket.terminate();
    return this.#end;
  }

  #check(startedAt: number): void {
    const now = kernel.getMonotonicMilliseconds();
    if (now - startedAt - CHECK_INTERVAL_MILLISECONDS > PAUSE_THRESHOLD_MILLISECONDS) {
      // Messages that arrived during the pause have not been read yet.
      this.#resumedAt = now;
    }
    if (
      now - Math.max(this.#unacknowledgedSince, this.#resumedAt) >
        ACKNOWLEDGEMENT_TIMEOUT_MILLISECONDS
    ) {
      const isReceiving = now - this.#lastReceivedAt < ACKNOWLEDGEMENT_TIMEOUT_MILLISECONDS;
      this.end(isReceiving ? "one_way" : "silent");
    } else if (now - this.#lastUsedAt > IDLE_TIMEOUT_MILLISECONDS) {
      this.end("idle");
    }
  }

  #handleMessage(message: unknown): void {
    const now = kernel.getMonotonicMilliseconds();
    this.#lastReceivedAt = now;
    if (!Array.isArray(message)) {
      this.end("malformed");
      return;
    }
    const kind = KIND_CODES[Number(message[0])];
    if (kind === "heartbeat") {
      this.#handleHeartbeat(Number(message[1]), now);
      return;
    }
    this.#received++;
    this.#lastUsedAt = now;
    const frame = {
      version: messaging.FRAME_VERSION,
      kind,
      channel: message[1] as unknown,
      callId: message[2] as unknown,
      payload: message[3] as unknown,
    };
    this.#owner.onFrame(this, frame);
  }

  #handleHeartbeat(acknowledged: number, now: number): void {
    const isValid = acknowledged >= this.#sentAcknowledged && acknowledged <= this.#sent;
    if (!isValid) {
      this.end("malformed");
      return;
    }
    if (acknowledged > this.#sentAcknowledged) {
      this.#sentAcknowledged = acknowledged;
      this.#unacknowledgedSince = acknowledged < this.#sent ? now : Number.POSITIVE_INFINITY;
    }
  }
}
