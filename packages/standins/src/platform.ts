/**
 * Stand-in of the platform's service: versioned values over plain HTTP, to be read and watched.
 */

import * as http from "node:http";
import type * as net from "node:net";

interface StoredValue {
  readonly version: number;
  readonly text: string;
}

/** Serves values on loopback. Publishing is a method of the stand-in, not part of the protocol. */
export class PlatformStandin {
  readonly #values = new Map<string, StoredValue>();
  readonly #watchers = new Map<string, Set<() => void>>();
  readonly #server = http.createServer((request, response) => {
    void this.#answer(request, response);
  });
  /** Calls so far, a waiting watch counted as one. */
  calls = 0;

  /** Starts to listen on loopback; port 0 takes a free one. */
  async start(port = 0): Promise<void> {
    await new Promise<void>((resolve) => this.#server.listen(port, "127.0.0.1", resolve));
  }

  get address(): string {
    return `http://127.0.0.1:${(this.#server.address() as net.AddressInfo).port}`;
  }

  /** Sets a value under its next version. */
  publish(key: string, text: string): void {
    const version = (this.#values.get(key)?.version ?? 0) + 1;
    this.#values.set(key, { version, text });
    for (const wake of this.#watchers.get(key) ?? []) {
      wake();
    }
  }

  async stop(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  async #answer(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    this.calls++;
    const url = new URL(request.url ?? "/", "http://platform");
    const key = decodeURIComponent(url.pathname.replace(/^\/v1\/values\//, ""));
    const after = url.searchParams.get("after");
    if (after !== null && (this.#values.get(key)?.version ?? 0) <= Number(after)) {
      await this.#waitForChange(key, Number(url.searchParams.get("wait") ?? 0), response);
    }
    const value = this.#values.get(key);
    if (value === undefined || (after !== null && value.version <= Number(after))) {
      response.statusCode = after === null ? 404 : 204;
      response.end();
      return;
    }
    response.setHeader("value-version", value.version);
    response.setHeader("content-type", "application/json");
    response.end(value.text);
  }

  #waitForChange(
    key: string,
    waitMilliseconds: number,
    response: http.ServerResponse,
  ): Promise<void> {
    const watchers = this.#watchers.get(key) ?? new Set();
    this.#watchers.set(key, watchers);
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        watchers.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMilliseconds);
      watchers.add(finish);
      response.once("close", finish);
    });
  }
}
