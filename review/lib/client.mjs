/**
 * Stand-in for a client: one connection, with every byte under control.
 */

import * as crypto from "node:crypto";
import * as net from "node:net";
import { encodeHead, MessageReader } from "./http1.mjs";

export function createRequestId() {
  return crypto.randomBytes(8).toString("hex");
}

/** One connection of a client. */
export class Client {
  #reader;
  socket;

  async connect(address) {
    const [host, port] = address.split(":");
    this.socket = net.connect({ host, port: Number(port), noDelay: true });
    this.socket.on("error", () => undefined);
    this.#reader = new MessageReader(this.socket);
    await new Promise((resolve, reject) => {
      this.socket.once("connect", resolve);
      this.socket.once("error", reject);
    });
  }

  /** Sends the head of a request and returns it as text. */
  sendHead(method, path, headers) {
    const head = encodeHead(`${method} ${path} HTTP/1.1`, headers);
    this.socket.write(head, "latin1");
    return head;
  }

  /** Reads the next answer; `status` is 0 if the connection ends without one. */
  async readAnswer() {
    const head = await this.#reader.readHead();
    if (head === undefined) {
      return { status: 0, headers: {}, body: Buffer.alloc(0), isWhole: false };
    }
    const status = Number(head.startLine.split(" ")[1]);
    if (status >= 100 && status < 200) {
      return this.readAnswer();
    }
    const read = await this.#reader.readBody(head.headers, true);
    return { status, headers: head.headers, ...read };
  }

  close() {
    this.socket.destroy();
  }
}
