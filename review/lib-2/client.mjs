/** Stand-in of a client: one connection, its requests and what comes back, byte by byte. */

import * as net from "node:net";

let nextRequest = 1;

/** Creates an id for one client attempt. */
export function createRequestId() {
  return (0x9c41d07b00000000n + BigInt(nextRequest++)).toString(16);
}

/** Creates the text of a request. */
export function createRequest({ method, path, host, id, deadline, key, body, headers = {} }) {
  const lines = [
    `${method} ${path} HTTP/1.1`,
    `Host: ${host}`,
    `Request-Id: ${id}`,
    `Deadline-Ms: ${deadline}`,
    ...(key === undefined ? [] : [`Authorization: Bearer ${key}`]),
    ...(body === undefined ? [] : [`Content-Length: ${Buffer.byteLength(body)}`]),
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
  ];
  return `${lines.join("\r\n")}\r\n\r\n${body ?? ""}`;
}

/**
 * One connection. The responses are kept in order: `{ status, headers, body, isComplete, ending }`.
 * A response without a length or chunks is complete with an orderly end of the connection.
 */
export class Connection {
  responses = [];
  /** How the connection ended: `end`, `reset`, or undefined while it is open. */
  ending;
  #socket;
  #pending = Buffer.alloc(0);
  #current;
  #listeners = new Set();

  constructor(machine) {
    const [host, port] = machine.listen.front.split(":");
    this.#socket = net.connect({ port: Number(port), host, allowHalfOpen: true });
    this.#socket.setNoDelay(true);
    this.opened = new Promise((resolve, reject) => {
      this.#socket.once("connect", resolve);
      this.#socket.once("error", reject);
    });
    this.opened.catch(() => undefined);
    this.#socket.on("data", (data) => this.#onData(data));
    this.#socket.on("end", () => {
      // Libuv reports a reset as an end if it arrives with the last bytes. Only after a reset does a
      // write fail, also an empty one.
      this.#socket.write("", (error) => {
        this.#onEnd(error === undefined || error === null ? "end" : "reset");
        this.#socket.end();
      });
    });
    this.#socket.on("error", () => this.#onEnd("reset"));
    this.#socket.on("close", () => this.#onEnd("reset"));
  }

  send(text) {
    this.#socket.write(text);
  }

  close() {
    this.#socket.destroy();
  }

  /** Waits until so many responses are complete, or the connection has ended. */
  waitForResponses(count, milliseconds) {
    const isDone = () =>
      this.ending !== undefined || this.responses.filter((one) => one.isComplete).length >= count;
    return new Promise((resolve) => {
      const check = () => {
        if (isDone()) {
          clearTimeout(timer);
          this.#listeners.delete(check);
          resolve(true);
        }
      };
      const timer = setTimeout(() => {
        this.#listeners.delete(check);
        resolve(false);
      }, milliseconds);
      this.#listeners.add(check);
      check();
    });
  }

  #notify() {
    [...this.#listeners].forEach((listener) => listener());
  }

  #onEnd(ending) {
    if (this.ending !== undefined) {
      return;
    }
    this.ending = ending;
    if (this.#current !== undefined && this.#current.framing === "end") {
      this.#current.isComplete = ending === "end";
    }
    this.#current = undefined;
    this.#notify();
  }

  #onData(data) {
    this.#pending = Buffer.concat([this.#pending, data]);
    while (this.#parse()) {
      // Each step takes a head, a part of a body or a chunk.
    }
    this.#notify();
  }

  #parse() {
    if (this.#current === undefined) {
      return this.#parseHead();
    }
    const current = this.#current;
    switch (current.framing) {
      case "length": {
        const part = this.#take(current.left);
        current.body = Buffer.concat([current.body, part]);
        current.left -= part.length;
        if (current.left === 0) {
          this.#complete();
          return true;
        }
        return false;
      }
      case "chunks":
        return this.#parseChunk(current);
      default: {
        const part = this.#take(this.#pending.length);
        current.body = Buffer.concat([current.body, part]);
        return false;
      }
    }
  }

  #take(bytes) {
    const part = this.#pending.subarray(0, bytes);
    this.#pending = this.#pending.subarray(part.length);
    return part;
  }

  #complete() {
    this.#current.isComplete = true;
    this.#current = undefined;
  }

  #parseHead() {
    const end = this.#pending.indexOf("\r\n\r\n");
    if (end < 0) {
      return false;
    }
    const [first, ...lines] = this.#take(end + 4).toString("latin1").trimEnd().split("\r\n");
    const headers = {};
    for (const line of lines) {
      const colon = line.indexOf(":");
      headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
    }
    const status = Number(first.split(" ")[1]);
    const length = headers["content-length"];
    const framing = headers["transfer-encoding"] === "chunked"
      ? "chunks"
      : length !== undefined
      ? "length"
      : status === 204 || status === 304
      ? "length"
      : "end";
    this.#current = {
      status,
      headers,
      body: Buffer.alloc(0),
      framing,
      left: Number(length ?? 0),
      isComplete: false,
    };
    this.responses.push(this.#current);
    if (framing === "length" && this.#current.left === 0) {
      this.#complete();
    }
    return true;
  }

  #parseChunk(current) {
    const end = this.#pending.indexOf("\r\n");
    if (end < 0) {
      return false;
    }
    const size = parseInt(this.#pending.subarray(0, end).toString("latin1"), 16);
    const needed = end + 2 + size + 2;
    if (this.#pending.length < needed) {
      return false;
    }
    const chunk = this.#take(needed).subarray(end + 2, end + 2 + size);
    if (size === 0) {
      this.#complete();
    } else {
      current.body = Buffer.concat([current.body, chunk]);
    }
    return true;
  }
}

/** Opens a connection to a machine. */
export async function open(machine) {
  const connection = new Connection(machine);
  await connection.opened;
  return connection;
}
