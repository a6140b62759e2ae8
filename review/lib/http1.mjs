/**
 * HTTP/1.1 on plain sockets, for stand-ins that must see and control each byte.
 */

/** Reads messages from a socket, one after another. */
export class MessageReader {
  #socket;
  #buffer = Buffer.alloc(0);
  #end;
  #wake = () => undefined;

  constructor(socket) {
    this.#socket = socket;
    socket.on("data", (chunk) => {
      this.#buffer = Buffer.concat([this.#buffer, chunk]);
      this.#wake();
    });
    const end = (how) => {
      this.#end ??= how;
      this.#wake();
    };
    socket.on("end", () => end("closed"));
    socket.on("error", () => end("reset"));
    socket.on("close", () => end("closed"));
  }

  /** Bytes that have been received and not yet read. */
  get unread() {
    return this.#buffer;
  }

  /** Waits until bytes are there; returns `false` once the connection has ended without any. */
  async hasMore() {
    while (this.#buffer.length === 0 && this.#end === undefined) {
      await this.#wait();
    }
    return this.#buffer.length > 0;
  }

  /** Reads a head: its first line and its headers by lower-case name. */
  async readHead() {
    let index;
    while ((index = this.#buffer.indexOf("\r\n\r\n")) < 0) {
      if (this.#end !== undefined) {
        return undefined;
      }
      await this.#wait();
    }
    const [startLine, ...lines] = this.#take(index + 4).toString("latin1").trimEnd().split("\r\n");
    const headers = {};
    for (const line of lines) {
      const colon = line.indexOf(":");
      headers[line.slice(0, colon).trim().toLowerCase()] = line.slice(colon + 1).trim();
    }
    return { startLine, headers };
  }

  /**
   * Reads a body by its framing (RFC 9112, section 6.3).
   *
   * @param endsWithConnection Whether a body without framing ends with its connection.
   */
  async readBody(headers, endsWithConnection) {
    const chunks = [];
    if (headers["transfer-encoding"] !== undefined) {
      while (true) {
        const line = await this.#readLine();
        const size = line === undefined ? Number.NaN : Number.parseInt(line, 16);
        const chunk = Number.isNaN(size) ? undefined : await this.#read(size + 2);
        if (chunk === undefined) {
          return { body: Buffer.concat(chunks), isWhole: false, end: this.#end };
        }
        if (size === 0) {
          return { body: Buffer.concat(chunks), isWhole: true, end: this.#end };
        }
        chunks.push(chunk.subarray(0, size));
      }
    }
    if (headers["content-length"] !== undefined) {
      const body = await this.#read(Number(headers["content-length"]));
      return { body: body ?? this.#buffer, isWhole: body !== undefined, end: this.#end };
    }
    if (!endsWithConnection) {
      return { body: Buffer.alloc(0), isWhole: true, end: this.#end };
    }
    while (this.#end === undefined) {
      await this.#wait();
    }
    // A reset is no proper end of such a body.
    return {
      body: this.#take(this.#buffer.length),
      isWhole: this.#end === "closed",
      end: this.#end,
    };
  }

  async #readLine() {
    let index;
    while ((index = this.#buffer.indexOf("\r\n")) < 0) {
      if (this.#end !== undefined) {
        return undefined;
      }
      await this.#wait();
    }
    return this.#take(index + 2).toString("latin1").trim();
  }

  async #read(length) {
    while (this.#buffer.length < length) {
      if (this.#end !== undefined) {
        return undefined;
      }
      await this.#wait();
    }
    return this.#take(length);
  }

  #take(length) {
    const taken = this.#buffer.subarray(0, length);
    this.#buffer = this.#buffer.subarray(length);
    return taken;
  }

  #wait() {
    return new Promise((resolve) => {
      this.#wake = resolve;
    });
  }
}

/** Encodes a head. */
export function encodeHead(startLine, headers) {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  return `${startLine}\r\n${lines.join("")}\r\n`;
}
