/**
 * A WebSocket that carries messages encoded by msgpackr.
 */

import * as msgpackr from "msgpackr";
import type * as ws from "ws";
import type * as counters from "./peer_counters.ts";
import type * as handshake from "./peer_handshake.ts";

/** Maximum size of a message on a link. A release note of 1 MiB fits. */
export const MAX_MESSAGE_BYTES = 2 * 1_048_576;

/** Maximum size of a message before the peer is authenticated. */
const MAX_HANDSHAKE_MESSAGE_BYTES = 4_096;

/** Maximum number of received messages that the handshake has not read yet. */
const MAX_UNREAD_MESSAGES = 8;

// With records, decoding a message would depend on earlier messages.
const packr = new msgpackr.Packr({ useRecords: false });

/** Encodes a message. The result can be sent on any number of sockets. */
export function encodeMessage(message: unknown): Buffer {
  return packr.pack(message);
}

/** Called with each message, or with `undefined` for one that cannot be decoded. */
export type MessageListener = (message: unknown) => void;

/** A WebSocket whose messages are read one at a time at first, and passed to a listener later. */
export class PeerSocket implements handshake.HandshakeChannel {
  /** Settles when the connection has closed. */
  readonly closed: Promise<void>;
  readonly #socket: ws.WebSocket;
  readonly #counters: counters.PeerCounters;
  readonly #unread: unknown[] = [];
  #reader: ((message: unknown) => void) | undefined;
  #listener: MessageListener | undefined;
  #isClosed = false;

  constructor(socket: ws.WebSocket, peerCounters: counters.PeerCounters) {
    this.#socket = socket;
    this.#counters = peerCounters;
    socket.on("message", (data: Buffer) => this.#handleData(data));
    // An error is always followed by a close event, which is handled below.
    socket.on("error", () => socket.terminate());
    this.closed = new Promise((resolve) => {
      socket.once("close", () => {
        this.#isClosed = true;
        this.#reader?.(undefined);
        resolve();
      });
    });
  }

  /** Whether the connection has closed. */
  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** Bytes queued to be sent. */
  get queuedBytes(): number {
    return this.#socket.bufferedAmount;
  }

  send(message: unknown): void {
    this.sendEncoded(encodeMessage(message));
  }

  /** Sends a message that is already encoded. */
  sendEncoded(bytes: Buffer): void {
    if (this.#socket.readyState !== this.#socket.OPEN) {
      return;
    }
    this.#counters.frames.inc({ direction: "sent" });
    this.#counters.bytes.inc({ direction: "sent" }, bytes.length);
    this.#socket.send(bytes);
  }

  async next(timeoutMilliseconds: number): Promise<unknown> {
    if (this.#unread.length > 0) {
      return this.#unread.shift();
    }
    if (this.#isClosed) {
      return undefined;
    }
    return await new Promise((resolve) => {
      const timer = setTimeout(() => this.#reader?.(undefined), timeoutMilliseconds);
      this.#reader = (message) => {
        clearTimeout(timer);
        this.#reader = undefined;
        resolve(message);
      };
    });
  }

  /** Passes each message to the listener from now on, starting with those not yet read. */
  listen(listener: MessageListener): void {
    this.#listener = listener;
    for (const message of this.#unread.splice(0)) {
      listener(message);
    }
  }

  /** Closes the connection without waiting for the peer. */
  terminate(): void {
    this.#socket.terminate();
  }

  #handleData(data: Buffer): void {
    this.#counters.frames.inc({ direction: "received" });
    this.#counters.bytes.inc({ direction: "received" }, data.length);
    if (this.#listener !== undefined) {
      this.#listener(decodeMessage(data));
      return;
    }
    const isExcessive = data.length > MAX_HANDSHAKE_MESSAGE_BYTES ||
      this.#unread.length >= MAX_UNREAD_MESSAGES;
    if (isExcessive) {
      this.#counters.drops.inc({ reason: "too_large" });
      this.terminate();
      return;
    }
    const message = decodeMessage(data);
    if (this.#reader !== undefined) {
      this.#reader(message);
    } else {
      this.#unread.push(message);
    }
  }
}

function decodeMessage(data: Buffer): unknown {
  try {
    return packr.unpack(data) as unknown;
  } catch {
    return undefined;
  }
}
