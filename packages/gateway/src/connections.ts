/**
 * The connections that this VM holds open to its targets.
 *
 * A connection may be half-open: a middlebox or the target has dropped its state, and no error
 * shows this before a response fails to arrive. The choice therefore depends on the time since the
 * last complete response. An idempotent request may use any connection within the idle timeout. A
 * request that must not run twice uses only a recently active connection or a new one.
 */

import * as configuration from "@hemlockwalk/configuration";
import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import type * as targets from "@hemlockwalk/targets";
import * as undici from "undici";

/** Time after which a connection without requests is closed. */
const IDLE_TIMEOUT_MILLISECONDS = 4_000;

/** A connection whose last response ended at most this long ago is assumed to be working. */
const RECENT_ACTIVITY_MILLISECONDS = 500;

const CONNECT_TIMEOUT_MILLISECONDS = 1_000;

/** Largest status line and headers of a target's response. */
const MAXIMUM_ANSWER_HEADER_BYTES = 64 * 1_024;

/** Counts connection events. */
export type ConnectionCounter = (event: ConnectionEvent) => void;

/** A counted event of the connections to targets. */
export type ConnectionEvent =
  | "opened"
  | "reused"
  /** An idle connection was not used: it may be half-open, and the request must not run twice. */
  | "passed_over"
  /** A request waits because the VM has reached its connection limit for the target. */
  | "limit_reached";

/** One connection to one target, used by one request at a time. */
export class TargetConnection {
  readonly client: undici.Client;
  /** When the last response on the connection ended; minus infinity before the first. */
  lastActiveMilliseconds = Number.NEGATIVE_INFINITY;
  /** Whether the connection has carried an earlier request. */
  reused = false;
  #connected = true;

  constructor(origin: string) {
    this.client = new undici.Client(origin, {
      pipelining: 1,
      connectTimeout: CONNECT_TIMEOUT_MILLISECONDS,
      keepAliveTimeout: IDLE_TIMEOUT_MILLISECONDS,
      keepAliveMaxTimeout: IDLE_TIMEOUT_MILLISECONDS,
      maxHeaderSize: MAXIMUM_ANSWER_HEADER_BYTES,
      // The request's own deadline limits the wait for its response.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    // The client reconnects by itself, which would make a new connection look like a used one.
    this.client.on("disconnect", () => {
      this.#connected = false;
    });
  }

  /** False once the connection has closed; true also before it is open. */
  get connected(): boolean {
    return this.#connected;
  }

  /** Whether the last response is recent enough to send a request that must not run twice. */
  isRecentlyActive(now: number): boolean {
    return now - this.lastActiveMilliseconds <= RECENT_ACTIVITY_MILLISECONDS;
  }

  destroy(): void {
    // A request that is still running on the connection fails through its own handler.
    void this.client.destroy();
  }
}

interface Waiter {
  readonly idempotent: boolean;
  readonly resolve: (connection: TargetConnection | undefined) => void;
}

/** The connections to one target. */
export class TargetConnections {
  readonly address: string;
  readonly #getLimit: () => number;
  readonly #count: ConnectionCounter;
  /** Idle connections, the most recently used last. */
  readonly #idle: TargetConnection[] = [];
  readonly #waiters: Waiter[] = [];
  #open = 0;
  #retired = false;

  constructor(address: string, getLimit: () => number, count: ConnectionCounter) {
    this.address = address;
    this.#getLimit = getLimit;
    this.#count = count;
  }

  /** Connections that are open or being opened. */
  get size(): number {
    return this.#open;
  }

  /**
   * Acquires a connection for one request, without waiting unless the limit is reached.
   *
   * @param idempotent Whether the request may run twice.
   * @param request Aborting its signal ends the wait without a connection.
   */
  acquire(
    idempotent: boolean,
    request: { readonly signal: AbortSignal },
  ): TargetConnection | Promise<TargetConnection | undefined> {
    return this.#tryAcquire(idempotent) ?? this.#wait(idempotent, request.signal);
  }

  /**
   * Releases a connection after a request.
   *
   * @param usable Whether the response was complete, so that the connection can be reused.
   */
  release(connection: TargetConnection, usable: boolean): void {
    if (usable) {
      connection.lastActiveMilliseconds = kernel.getMonotonicMilliseconds();
      connection.reused = true;
    }
    this.#returnOrDrop(connection, usable);
  }

  /** Releases a connection on which nothing was sent, which does not count as activity. */
  releaseUnused(connection: TargetConnection): void {
    this.#returnOrDrop(connection, connection.reused);
  }

  /** Closes idle connections now and the others when they are released. */
  retire(): void {
    this.#retired = true;
    for (const connection of this.#idle.splice(0)) {
      this.#drop(connection);
    }
  }

  #tryAcquire(idempotent: boolean): TargetConnection | undefined {
    const now = kernel.getMonotonicMilliseconds();
    const latest = this.#idle.at(-1);
    if (latest !== undefined && isUsable(latest, idempotent, now)) {
      this.#idle.pop();
      this.#count("reused");
      return latest;
    }
    if (latest !== undefined) {
      this.#count("passed_over");
    }
    if (this.#open >= this.#getLimit()) {
      const oldest = this.#idle.shift();
      if (oldest === undefined) {
        return undefined;
      }
      this.#drop(oldest);
    }
    return this.#create();
  }

  #returnOrDrop(connection: TargetConnection, usable: boolean): void {
    if (usable && !this.#retired && connection.connected) {
      this.#idle.push(connection);
    } else {
      this.#drop(connection);
    }
    this.#serveWaiter();
  }

  #create(): TargetConnection {
    const connection = new TargetConnection(`http://${this.address}`);
    this.#open++;
    this.#count("opened");
    connection.client.on("disconnect", () => {
      const index = this.#idle.indexOf(connection);
      if (index !== -1) {
        this.#idle.splice(index, 1);
        this.#drop(connection);
        this.#serveWaiter();
      }
    });
    return connection;
  }

  #drop(connection: TargetConnection): void {
    this.#open--;
    connection.destroy();
  }

  #wait(idempotent: boolean, signal: AbortSignal): Promise<TargetConnection | undefined> {
    this.#count("limit_reached");
    return new Promise((resolve) => {
      const onAbort = () => {
        this.#waiters.splice(this.#waiters.indexOf(waiter), 1);
        resolve(undefined);
      };
      const waiter: Waiter = {
        idempotent,
        resolve: (connection) => {
          signal.removeEventListener("abort", onAbort);
          resolve(connection);
        },
      };
      if (signal.aborted) {
        resolve(undefined);
        return;
      }
      signal.addEventListener("abort", onAbort, { once: true });
      this.#waiters.push(waiter);
    });
  }

  #serveWaiter(): void {
    const waiter = this.#waiters[0];
    const connection = waiter === undefined ? undefined : this.#tryAcquire(waiter.idempotent);
    if (waiter !== undefined && connection !== undefined) {
      this.#waiters.shift();
      waiter.resolve(connection);
    }
  }
}

function isUsable(connection: TargetConnection, idempotent: boolean, now: number): boolean {
  // After a pause of the process, the timer that closes idle connections fires late.
  return idempotent
    ? now - connection.lastActiveMilliseconds <= IDLE_TIMEOUT_MILLISECONDS
    : connection.isRecentlyActive(now);
}

/** The connections to all targets of the current configuration. */
export class ConnectionTable {
  readonly #pool: targets.TargetPool;
  readonly #count: ConnectionCounter;
  readonly #targets = new Map<model.TargetId, TargetConnections>();

  constructor(pool: targets.TargetPool, count: ConnectionCounter) {
    this.#pool = pool;
    this.#count = count;
  }

  /** Number of open connections to all targets. */
  get size(): number {
    let size = 0;
    for (const connections of this.#targets.values()) {
      size += connections.size;
    }
    return size;
  }

  /** The connections to one target. */
  get(target: model.Target): TargetConnections {
    const known = this.#targets.get(target.id);
    if (known?.address === target.address) {
      return known;
    }
    known?.retire();
    const created = new TargetConnections(
      target.address,
      // A request that holds a slot gets a connection even if this VM's share drops to zero.
      () => Math.max(1, this.#pool.getConnectionLimit(target.id)),
      this.#count,
    );
    this.#targets.set(target.id, created);
    return created;
  }

  /** Closes the connections to targets that were removed, are leaving or changed their address. */
  closeRemoved(snapshot: configuration.Snapshot): void {
    for (const [id, connections] of this.#targets) {
      const target = snapshot.findTarget(id);
      if (target === undefined || target.leaving || target.address !== connections.address) {
        connections.retire();
        this.#targets.delete(id);
      }
    }
  }

  /** Closes the idle connections to all targets. */
  close(): void {
    for (const connections of this.#targets.values()) {
      connections.retire();
    }
    this.#targets.clear();
  }
}
