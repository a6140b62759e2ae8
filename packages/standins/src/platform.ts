/**
 * Stand-in for the platform's key-value service: serves reads and watches of versioned values over
 * plain HTTP, and can inject the faults of the real service.
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

/** Injected faults and limits. Tests change them while the stand-in runs. */
export interface PlatformBehaviour {
  /** Whether calls are closed without a response. */
  unavailable: boolean;
  /** Whether calls get no response: the path works in one direction only. */
  silent: boolean;
  /** Number of writes that reads see, as on a stale replica; undefined for all. */
  visibleWrites: number | undefined;
  /** Whether only the first half of each value is sent, as if it were complete. */
  torn: boolean;
  /** Delay before each response. */
  delayMilliseconds: number;
  /** Calls per second beyond which calls get status 429; undefined for no limit. */
  callsPerSecond: number | undefined;
}

/** Serves values on loopback. Values are written through `publish`, not through the protocol. */
export class PlatformStandin {
  readonly behaviour: PlatformBehaviour = {
    unavailable: false,
    silent: false,
    visibleWrites: undefined,
    torn: false,
    delayMilliseconds: 0,
    callsPerSecond: undefined,
  };
  /** Number of calls so far; a watch counts as one call. */
  calls = 0;
  /** Number of calls that got status 429. */
  rateLimitedCalls = 0;
  readonly #writes: Write[] = [];
  readonly #watchers = new Map<string, Set<() => void>>();
  readonly #server = http.createServer((request, response) => {
    void this.#answer(request, response);
  });
  #secondStart = Number.NEGATIVE_INFINITY;
  #callsInSecond = 0;

  /** Listens on loopback; port 0 selects a free port. */
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

  /** Writes a value with its next version and wakes its watches. */
  publish(key: string, text: string): void {
    const version = (this.#find(key, this.#writes.length)?.version ?? 0) + 1;
    this.#writes.push({ key, value: { version, text } });
    for (const notify of [...this.#watchers.get(key) ?? []]) {
      notify();
    }
  }

  async stop(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  async #answer(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    this.calls++;
    if (this.behaviour.unavailable) {
      response.destroy();
      return;
    }
    if (this.#isOverRate()) {
      this.rateLimitedCalls++;
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
    if (this.behaviour.unavailable) {
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
