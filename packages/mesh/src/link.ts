/**
 * One WebSocket between two VMs, with messages encoded by msgpackr and a watch on its silence.
 */

import * as kernel from "@hemlockwalk/kernel";
import * as msgpackr from "msgpackr";
import type * as ws from "ws";
import type * as types from "./types.ts";

/** A peer that leaves so many bytes unread has to open a new link, over which it gets everything. */
const MAX_QUEUED_BYTES = 1_048_576;

// Records would make a decoder depend on earlier messages.
const packr = new msgpackr.Packr({ useRecords: false });

/** Encodes a message for any number of links. */
export function encode(message: types.LinkMessage): Buffer {
  return packr.pack(message);
}

/** What happens on a link. */
export interface LinkListener {
  onMessage(link: Link, message: types.LinkMessage): void;
  onClose(link: Link): void;
}

/** One open or opening connection to another VM. */
export class Link {
  /** Address that was dialled; undefined for a link that the other VM opened. */
  readonly dialledAddress: string | undefined;
  /** Whom the link leads to, once the other VM has said so. */
  peer: types.MemberIdentity | undefined;
  role: types.LinkRole = "standby";
  /** Whether the other VM has been sent everything, so that only updates must follow. */
  isIntroduced = false;
  /** Marks of feeds that the other VM has stated and that were not yet compared. */
  readonly marks = new Map<string, number>();
  heardAt = kernel.getMonotonicMilliseconds();
  sentAt = kernel.getMonotonicMilliseconds();
  /** Encoded reports that wait to be sent together. */
  readonly waiting: Uint8Array[] = [];
  readonly #socket: ws.WebSocket;

  constructor(socket: ws.WebSocket, listener: LinkListener, dialledAddress?: string) {
    this.#socket = socket;
    this.dialledAddress = dialledAddress;
    socket.on("message", (data: Buffer) => {
      this.heardAt = kernel.getMonotonicMilliseconds();
      const message = decode(data);
      if (message === undefined) {
        socket.terminate();
        return;
      }
      listener.onMessage(this, message);
    });
    // An error is always followed by the close, which says all that matters here.
    socket.on("error", () => socket.terminate());
    socket.once("close", () => listener.onClose(this));
  }

  get isOpen(): boolean {
    return this.#socket.readyState === this.#socket.OPEN;
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
