/**
 * One WebSocket that carries messages encoded by msgpackr.
 */

import * as msgpackr from "msgpackr";
import type * as ws from "ws";
import type * as counters from "./peer_counters.ts";
import type * as handshake from "./peer_handshake.ts";

/** Largest message on a link. A release note of a megabyte fits. */
export const MAX_MESSAGE_BYTES = 2 * 1_048_576;

/** Largest message before the peer has proven itself. */
const MAX_HANDSHAKE_MESSAGE_BYTES = 4_096;

/** Messages that may wait for the handshake to take them. */
const MAX_WAITING_MESSAGES = 8;

// Records would make a decoder depend on earlier messages.
const packr = new msgpackr.Packr({ useRecords: false });

/** Encodes a message for any number of sockets. */
export function encodeMessage(message: unknown): Buffer {
  return packr.pack(message);
}

/** Hands over each message, or `undefined` for one that cannot be decoded. */
export type MessageListener = (message: unknown) => void;

/** A WebSocket whose messages are taken one by one first and by a listener later. */
export class PeerSocket implements handshake.HandshakeChannel {
  /** Settles when the connection has closed. */
  readonly closed: Promise<void>;
  readonly #socket: ws.WebSocket;
  readonly #counters: counters.PeerCounters;
  readonly #waiting: unknown[] = [];
  #taker: ((message: unknown) => void) | undefined;
  #listener: MessageListener | undefined;
  #isClosed = false;

  constructor(socket: ws.WebSocket, peerCounters: counters.PeerCounters) {
    this.#socket = socket;
    this.#counters = peerCounters;
    socket.on("message", (data: Buffer) => this.#take(data));
    // An error is always followed by the close, which says all that matters here.
    socket.on("error", () => socket.terminate());
    this.closed = new Promise((resolve) => {
      socket.once("close", () => {
        this.#isClosed = true;
        this.#taker?.(undefined);
        resolve();
      });
    });
  }

  /** Whether the connection has closed. */
  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** Bytes that wait to be sent. */
  get queuedBytes(): number {
    return this.#socket.bufferedAmount;
  }

  send(message: unknown): void {
    this.sendEncoded(encodeMessage(message));
  }

  /** Sends a message that has been encoded before. */
  sendEncoded(bytes: Buffer): void {
    if (this.#socket.readyState !== this.#socket.OPEN) {
      return;
    }
    this.#counters.frames.inc({ direction: "sent" });
    this.#counters.bytes.inc({ direction: "sent" }, bytes.length);
    this.#socket.send(bytes);
  }

  async next(timeoutMilliseconds: number): Promise<unknown> {
    if (this.#waiting.length > 0) {
      return this.#waiting.shift();
    }
    if (this.#isClosed) {
      return undefined;
    }
    return await new Promise((resolve) => {
      const timer = setTimeout(() => this.#taker?.(undefined), timeoutMilliseconds);
      this.#taker = (message) => {
        clearTimeout(timer);
        this.#taker = undefined;
        resolve(message);
      };
    });
  }

  /** From now on hands each message to the listener, those that already wait first. */
  listen(listener: MessageListener): void {
    this.#listener = listener;
    for (const message of this.#waiting.splice(0)) {
      listener(message);
    }
  }

  /** Closes the connection without waiting for the peer. */
  terminate(): void {
    this.#socket.terminate();
  }

  #take(data: Buffer): void {
    this.#counters.frames.inc({ direction: "received" });
    this.#counters.bytes.inc({ direction: "received" }, data.length);
    if (this.#listener !== undefined) {
      this.#listener(decodeMessage(data));
      return;
    }
    const isExcessive = data.length > MAX_HANDSHAKE_MESSAGE_BYTES ||
      this.#waiting.length >= MAX_WAITING_MESSAGES;
    if (isExcessive) {
      this.#counters.drops.inc({ reason: "too_large" });
      this.terminate();
      return;
    }
    const message = decodeMessage(data);
    if (this.#taker !== undefined) {
      this.#taker(message);
    } else {
      this.#waiting.push(message);
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
