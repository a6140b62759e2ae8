/**
 * Stand-in for a target: records each request and echoes it.
 */

import * as http from "node:http";
import type * as net from "node:net";

/** A request that a target stand-in received. */
export interface ReceivedRequest {
  readonly method: string;
  readonly url: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

/** Serves every request on loopback with its own name and the request's method, URL and body. */
export class TargetStandin {
  readonly name: string;
  readonly received: ReceivedRequest[] = [];
  /** Delay before each response. */
  delayMilliseconds = 0;
  readonly #server = http.createServer((request, response) => {
    void this.#answer(request, response);
  });

  constructor(name: string) {
    this.name = name;
  }

  async start(port = 0): Promise<void> {
    await new Promise<void>((resolve) => this.#server.listen(port, "127.0.0.1", resolve));
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as net.AddressInfo).port}`;
  }

  async stop(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  async #answer(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
      chunks.push(chunk as Buffer);
    }
    const body = Buffer.concat(chunks).toString();
    const { method = "", url = "", headers } = request;
    this.received.push({ method, url, headers, body });
    if (this.delayMilliseconds > 0) {
      await new Promise((resolve) => setTimeout(resolve, this.delayMilliseconds));
    }
    response.setHeader("target", this.name);
    response.setHeader("content-type", "text/plain");
    response.end(`${this.name} ran ${method} ${url}\n${body}`);
  }
}
