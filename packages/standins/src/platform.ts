/**
 * Stand-in of the platform's service: versioned values over plain HTTP, to be read and watched, with
 * the faults that the real one has.
 */

import * as http from "node:http";
import type * as net from "node:net";

const SECOND_MILLISECONDS = 1_000;

interface StoredValue {
  readonly version: number;
  readonly text: string;
}

interface Write {
  readonly key: string;
  readonly value: StoredValue;
}

/** How the stand-in behaves. Tests change it while it runs. */
export interface PlatformBehaviour {
  /** Connections are closed without an answer. */
  away: boolean;
  /** Calls arrive, and their answers do not: reachable one way only. */
  silent: boolean;
  /** Only this many of the writes are visible, as on an older replica; undefined for all. */
  visibleWrites: number | undefined;
  /** Only the first half of each value is sent, as if it were whole. */
  torn: boolean;
  /** Time before each answer. */
  delayMilliseconds: number;
  /** Calls within a second after which calls get status 429; undefined without a limit. */
  callsPerSecond: number | undefined;
}

/** Serves values on loopback. Publishing is a method of the stand-in, not part of the protocol. */
export class PlatformStandin {
  readonly behaviour: PlatformBehaviour = {
    away: false,
    silent: false,
    visibleWrites: undefined,
    torn: false,
    delayMilliseconds: 0,
    callsPerSecond: undefined,
  };
  /** Calls so far, a waiting watch counted as one. */
  calls = 0;
  /** Calls that were answered with status 429. */
  refusedCalls = 0;
  readonly #writes: Write[] = [];
  readonly #watchers = new Map<string, Set<() => void>>();
  readonly #server = http.createServer((request, response) => {
    void this.#answer(request, response);
  });
  #secondStart = Number.NEGATIVE_INFINITY;
  #callsInSecond = 0;

  /** Starts to listen on loopback; port 0 takes a free one. */
  async start(port = 0): Promise<void> {
    await new Promise<void>((resolve) => this.#server.listen(port, "127.0.0.1", resolve));
  }

  get address(): string {
    return `http://127.0.0.1:${(this.#server.address() as net.AddressInfo).port}`;
  }

  /** Number of values written so far. */
  get writes(): number {
    return this.#writes.length;
  }

  /** Sets a value under its next version. */
  publish(key: string, text: string): void {
    const version = (this.#find(key, this.#writes.length)?.version ?? 0) + 1;
    this.#writes.push({ key, value: { version, text } });
    for (const wake of [...this.#watchers.get(key) ?? []]) {
      wake();
    }
  }

  async stop(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  async #answer(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    this.calls++;
    if (this.behaviour.away) {
      response.destroy();
      return;
    }
    if (this.#isOverRate()) {
      this.refusedCalls++;
      response.statusCode = 429;
      response.end();
      return;
    }
    const url = new URL(request.url ?? "/", "http://platform");
    const key = decodeURIComponent(url.pathname.replace(/^\/v1\/values\//, ""));
    const after = url.searchParams.get("after");
    if (after !== null && (this.#read(key)?.version ?? 0) <= Number(after)) {
      await this.#waitForChange(key, Number(url.searchParams.get("wait") ?? 0), response);
    }
    await new Promise((resolve) => setTimeout(resolve, this.behaviour.delayMilliseconds));
    // The behaviour may have changed while the call waited.
    if (this.behaviour.away) {
      response.destroy();
    } else if (!this.behaviour.silent) {
      this.#send(response, key, after);
    }
  }

  #send(response: http.ServerResponse, key: string, after: string | null): void {
    const value = this.#read(key);
    if (value === undefined || (after !== null && value.version <= Number(after))) {
      response.statusCode = after === null ? 404 : 204;
      response.end();
      return;
    }
    response.setHeader("value-version", value.version);
    response.setHeader("content-type", "application/json");
    const { text } = value;
    response.end(this.behaviour.torn ? text.slice(0, text.length >> 1) : text);
  }

  #isOverRate(): boolean {
    const now = performance.now();
    if (now - this.#secondStart >= SECOND_MILLISECONDS) {
      this.#secondStart = now;
      this.#callsInSecond = 0;
    }
    this.#callsInSecond++;
    return this.#callsInSecond > (this.behaviour.callsPerSecond ?? Infinity);
  }

  #read(key: string): StoredValue | undefined {
    return this.#find(key, this.behaviour.visibleWrites ?? this.#writes.length);
  }

  #find(key: string, writes: number): StoredValue | undefined {
    return this.#writes.slice(0, writes).findLast((write) => write.key === key)?.value;
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
