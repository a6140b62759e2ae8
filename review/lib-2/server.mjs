/**
 * Stand-in of a backend. It runs a limited number of requests at once, queues a few more, and
 * rejects what is beyond that as not executed.
 */

import * as http from "node:http";

let nextId = 1;

export class Server {
  #options;
  #running = 0;
  #queue = [];
  #sequence = 0;
  #bornAt = Date.now();
  #http = http.createServer((request, response) => this.#receive(request, response));

  /**
   * @param options `system`, `service`, `zone`, `slots`, `queue`, `recordsRuns` (by default true), and
   * `work(server, exchange)`, which answers the exchange `{ request, response, body, id }`.
   */
  constructor(options) {
    this.#options = options;
    this.id = `i-${(0x7f000000 + nextId++).toString(16)}`;
    this.name = `server-${nextId - 1}`;
    this.#http.keepAliveTimeout = 10_000;
    this.#http.requestTimeout = 0;
  }

  start() {
    return new Promise((resolve) => this.#http.listen(0, "127.0.0.1", resolve));
  }

  stop() {
    this.#http.close();
    this.#http.closeAllConnections();
  }

  get address() {
    return `127.0.0.1:${this.#http.address().port}`;
  }

  /** What the server registers in the store. */
  createEntry() {
    const { service, zone, slots } = this.#options;
    return {
      address: this.address,
      info: { service, version: "v1", zone, slots },
      status: { state: "ready", seq: ++this.#sequence, cold_left: "0ms" },
      born: this.#bornAt,
    };
  }

  /** Adds a line about this server to the record. */
  record(text) {
    this.#options.system.record(`${this.name} ${text}`);
  }

  #receive(request, response) {
    const { slots, queue } = this.#options;
    const id = request.headers["request-id"];
    if (request.url === "/healthz") {
      response.writeHead(200, { "Instance-Id": this.id, "Content-Length": 0 }).end();
      return;
    }
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("end", () => {
      const body = Buffer.concat(chunks);
      const expected = request.headers["target-instance"];
      if (expected !== undefined && expected !== this.id) {
        const head = { "Request-Id": id, "Instance-Id": this.id, "Content-Length": 0 };
        response.writeHead(421, head).end();
        return;
      }
      if (this.#running >= slots && this.#queue.length >= queue) {
        this.record(`rejects ${id} as not executed`);
        this.#reject(id, response);
        return;
      }
      this.#queue.push(() => this.#run({ request, response, body, id }));
      this.#advance();
    });
  }

  #reject(id, response) {
    const head = { "Not-Executed": "1", "Request-Id": id, "Content-Length": 0 };
    response.writeHead(503, head).end();
  }

  #advance() {
    while (this.#running < this.#options.slots && this.#queue.length > 0) {
      this.#running++;
      this.#queue.shift()();
    }
  }

  #run(exchange) {
    const { work, recordsRuns } = this.#options;
    const { request, response, id } = exchange;
    if (request.socket.destroyed) {
      // The caller has closed the connection: the request is dropped.
      this.#running--;
      setImmediate(() => this.#advance());
      return;
    }
    if (recordsRuns !== false) {
      this.record(`runs ${id}`);
    }
    let isFreed = false;
    const free = () => {
      if (!isFreed) {
        isFreed = true;
        this.#running--;
        this.#advance();
      }
    };
    response.once("close", free);
    work(this, exchange);
  }
}

/** The headers of an answer with a body. */
export function createAnswerHead(id) {
  return { "Request-Id": id, "Response-Signature": `3e1b.07.5a2.600.0.${id}` };
}
