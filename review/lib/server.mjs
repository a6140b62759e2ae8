/**
 * Stand-in for a backend: reads whole requests from plain sockets, rejects those for another
 * instance, and leaves the answer to the case.
 */

import * as crypto from "node:crypto";
import * as net from "node:net";
import { drawLoopbackHost } from "./fleet.mjs";
import { encodeHead, MessageReader } from "./http1.mjs";

const HEALTH_PATH = "/healthz";

/** Seconds for which an idle connection is kept. */
const IDLE_SECONDS = 10;

/** The signature that a backend puts into an answer: it covers the whole body. */
export function createSignature(server, body) {
  return `${server}.${body.length}.${crypto.createHash("sha256").update(body).digest("hex")}`;
}

/** One backend. */
export class Server {
  id;
  service;
  address;
  born = Date.now();
  /** All requests that arrived whole, in order. */
  arrivals = [];
  #answer;
  #answerEarly;
  #sockets = new Set();
  #server = net.createServer({ noDelay: true }, (socket) => void this.#serve(socket));

  /**
   * @param answer Answers a request that was read whole; see `#serve` for what it is given.
   * @param answerEarly May answer a request whose body has not been read; tells whether it has. The
   *   body is then read on and dropped.
   */
  constructor(id, service, answer, answerEarly = () => false) {
    this.id = id;
    this.service = service;
    this.#answer = answer;
    this.#answerEarly = answerEarly;
  }

  async start() {
    const host = drawLoopbackHost();
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    this.address = `${host}:${this.#server.address().port}`;
  }

  stop() {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  async #serve(socket) {
    this.#sockets.add(socket);
    socket.on("close", () => this.#sockets.delete(socket));
    socket.on("error", () => undefined);
    let isIdle = true;
    // A backend closes connections that are idle.
    socket.setTimeout(IDLE_SECONDS * 1_000, () => {
      if (isIdle) {
        socket.end();
      }
    });
    const reader = new MessageReader(socket);
    while (!socket.destroyed) {
      isIdle = true;
      if (!await reader.hasMore()) {
        return;
      }
      isIdle = false;
      const head = await reader.readHead();
      if (head === undefined) {
        return;
      }
      const [method, path, protocol] = head.startLine.split(" ");
      if (!/^[A-Z]+$/.test(method) || protocol !== "HTTP/1.1" || head.headers.host === undefined) {
        this.arrivals.push({ startLine: head.startLine, isInvalid: true, headers: head.headers });
        socket.end("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        return;
      }
      if (path === HEALTH_PATH) {
        socket.write(
          `HTTP/1.1 200 OK\r\nInstance-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`,
        );
        continue;
      }
      const requestId = head.headers["request-id"];
      const isAnswered = await this.#answerEarly({ requestId, method, path }, socket, this);
      const { body, isWhole } = await reader.readBody(head.headers, false);
      if (!isWhole) {
        return;
      }
      if (isAnswered) {
        continue;
      }
      const expected = head.headers["target-instance"];
      if (expected !== undefined && expected !== this.id) {
        socket.write(
          encodeHead("HTTP/1.1 421 Misdirected Request", {
            "Request-Id": requestId,
            "Instance-Id": this.id,
            "Content-Length": 0,
          }),
        );
        continue;
      }
      const arrival = { server: this.id, method, path, requestId, body, headers: head.headers };
      this.arrivals.push(arrival);
      await this.#answer(arrival, socket, this);
    }
  }

  /** Sends an answer with its length over a connection that is kept. */
  sendAnswer(socket, { requestId }, status, body) {
    socket.write(
      encodeHead(`HTTP/1.1 ${status} ${status === 200 ? "OK" : "Error"}`, {
        "Request-Id": requestId,
        "Response-Signature": createSignature(this.id, body),
        "Content-Length": body.length,
        "Keep-Alive": `timeout=${IDLE_SECONDS}`,
      }),
    );
    socket.write(body);
  }

  /** Rejects a request that has not run, over a connection that is kept. */
  rejectRequest(socket, { requestId }) {
    socket.write(
      encodeHead("HTTP/1.1 503 Service Unavailable", {
        "Request-Id": requestId,
        "Not-Executed": "1",
        "Content-Length": 0,
        "Keep-Alive": `timeout=${IDLE_SECONDS}`,
      }),
    );
  }

  /** Sends the beginning of an answer that has no length and ends with its connection. */
  beginUnframedAnswer(socket, { requestId }, body) {
    socket.write(
      encodeHead("HTTP/1.1 200 OK", {
        "Request-Id": requestId,
        "Response-Signature": createSignature(this.id, body),
        Connection: "close",
      }),
    );
  }
}
