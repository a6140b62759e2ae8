/**
 * A WebSocket between two VMs, whose messages are encoded with msgpackr.
 */

import * as kernel from "@hemlockwalk/kernel";
import * as msgpackr from "msgpackr";
import type * as ws from "ws";
import type * as types from "./types.ts";

/** Queued bytes beyond which a link is closed. The peer then opens a new one and synchronizes. */
const MAX_QUEUED_BYTES = 1_048_576;

// With records, the decoding of a message would depend on earlier messages.
const packr = new msgpackr.Packr({ useRecords: false });

/** Encodes a message for any number of links. */
export function encode(message: types.LinkMessage): Buffer {
  return packr.pack(message);
}

/** Receives the events of a link. */
export interface LinkListener {
  onMessage(link: Link, message: types.LinkMessage): void;
  onClose(link: Link): void;
}

/** One open or opening connection to another VM. */
export class Link {
  /** Address that was dialled; undefined for a link that the other VM opened. */
  readonly dialledAddress: string | undefined;
  /** Identity of the other VM; undefined until its hello has arrived. */
  peer: types.MemberIdentity | undefined;
  role: types.LinkRole = "standby";
  /** Whether the hello was sent to the other VM, which then needs only updates. */
  hasSentHello = false;
  /** Digests of replicated states that the other VM has sent and that were not yet compared. */
  readonly digests = new Map<string, unknown>();
  receivedAt = kernel.getMonotonicMilliseconds();
  sentAt = kernel.getMonotonicMilliseconds();
  /** Number of the other VM's latest report that arrived on this link. */
  receivedSequence = 0;
  /** Number of this VM's latest report whose arrival the other VM has confirmed. */
  confirmedSequence = 0;
  /** Whether the other VM waits for a confirmation. */
  mustConfirm = false;
  /** Encoded reports that are sent together in the next message. */
  readonly queuedReports: Uint8Array[] = [];
  readonly #socket: ws.WebSocket;

  constructor(socket: ws.WebSocket, listener: LinkListener, dialledAddress?: string) {
    this.#socket = socket;
    this.dialledAddress = dialledAddress;
    socket.on("message", (data: Buffer) => {
      this.receivedAt = kernel.getMonotonicMilliseconds();
      const message = decode(data);
      if (message === undefined) {
        socket.terminate();
        return;
      }
      listener.onMessage(this, message);
    });
    // An error is always followed by the close event, which is handled below.
    socket.on("error", () => socket.terminate());
    socket.once("close", () => listener.onClose(this));
  }

  get isOpen(): boolean {
    return this.#socket.readyState === this.#socket.OPEN;
  }

  /** Whether messages are compressed, which the two VMs have agreed on when the link opened. */
  get isCompressed(): boolean {
    return this.#socket.extensions !== "";
  }

  send(encoded: Buffer): void {
    if (!this.isOpen) {
      return;
    }
    if (this.#socket.bufferedAmount > MAX_QUEUED_BYTES) {
      this.close();
      return;
    }
    this.sentAt = kernel.getMonotonicMilliseconds();
    this.#socket.send(encoded);
  }

  close(): void {
    this.#socket.terminate();
  }
}

function decode(data: Buffer): types.LinkMessage | undefined {
  try {
    const message = packr.unpack(data) as types.LinkMessage;
    return typeof message?.kind === "string" ? message : undefined;
  } catch {
    return undefined;
  }
}
