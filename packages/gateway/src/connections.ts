/**
 * The connections that this VM holds open to its targets.
 *
 * An open connection may have gone silent because something between the two ends has lost track of
 * it. Nothing shows that before an answer stays away, so the age of the last sign of life decides:
 * an idempotent request may use any connection that is not older than the idle bound, and a request
 * that must not run twice only one that has just been proven, or a fresh one.
 */

import * as configuration from "@hemlockwalk/configuration";
import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import type * as targets from "@hemlockwalk/targets";
import * as undici from "undici";

/** Longest time that a connection stays open without a request. */
const IDLE_BOUND_MILLISECONDS = 4_000;

/** A connection whose last answer ended this recently counts as alive. */
const PROVEN_MILLISECONDS = 500;

const CONNECT_TIMEOUT_MILLISECONDS = 1_000;

/** Largest head of a target's answer. */
const MAXIMUM_ANSWER_HEAD_BYTES = 64 * 1_024;

/** Counts what happens to connections, by event. */
export type ConnectionCounter = (event: ConnectionEvent) => void;

/** Events that are counted. */
export type ConnectionEvent =
  | "opened"
  | "reused"
  /** Not used, since its silence can't be told from death and the request must not run twice. */
  | "passed_over"
  /** A request waits since the VM may open no further connection to the target. */
  | "limit_reached";

/** One connection to one target, used by one request at a time. */
export class TargetConnection {
  readonly client: undici.Client;
  /** When the last answer on the connection ended; minus infinity before the first. */
  provenMilliseconds = Number.NEGATIVE_INFINITY;
  /** Whether the connection was open before the request that uses it now. */
  reused = false;
  #connected = true;

  constructor(origin: string) {
    this.client = new undici.Client(origin, {
      pipelining: 1,
      connectTimeout: CONNECT_TIMEOUT_MILLISECONDS,
      keepAliveTimeout: IDLE_BOUND_MILLISECONDS,
      keepAliveMaxTimeout: IDLE_BOUND_MILLISECONDS,
      maxHeaderSize: MAXIMUM_ANSWER_HEAD_BYTES,
      // The request's own deadline bounds its answer.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    // The client would open another connection by itself; which one is fresh must stay known.
    this.client.on("disconnect", () => {
      this.#connected = false;
    });
  }

  /** Whether the connection has not ended; true also before it is open. */
  get connected(): boolean {
    return this.#connected;
  }

  /** Whether the last sign of life is recent enough for a request that must not run twice. */
  isProven(now: number): boolean {
    return now - this.provenMilliseconds <= PROVEN_MILLISECONDS;
  }

  destroy(): void {
    // A request that still runs on it fails through its own handler.
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
  /** The most recently used last. */
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
   * Takes a connection for one request, at once unless the limit is reached.
   *
   * @param idempotent Whether the request may run twice.
   * @param request Its signal ends the wait, with no connection.
   */
  acquire(
    idempotent: boolean,
    request: { readonly signal: AbortSignal },
  ): TargetConnection | Promise<TargetConnection | undefined> {
    return this.#tryTake(idempotent) ?? this.#wait(idempotent, request.signal);
  }

  /**
   * Gives a connection back.
   *
   * @param usable Whether the last answer ended completely, so that another request may follow.
   */
  release(connection: TargetConnection, usable: boolean): void {
    if (usable && !this.#retired && connection.connected) {
      connection.provenMilliseconds = kernel.getMonotonicMilliseconds();
      connection.reused = true;
      this.#idle.push(connection);
    } else {
      this.#drop(connection);
    }
    this.#serveWaiter();
  }

  /** Closes idle connections and, as they are given back, the others. */
  retire(): void {
    this.#retired = true;
    for (const connection of this.#idle.splice(0)) {
      this.#drop(connection);
    }
  }

  #tryTake(idempotent: boolean): TargetConnection | undefined {
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
    const connection = waiter === undefined ? undefined : this.#tryTake(waiter.idempotent);
    if (waiter !== undefined && connection !== undefined) {
      this.#waiters.shift();
      waiter.resolve(connection);
    }
  }
}

function isUsable(connection: TargetConnection, idempotent: boolean, now: number): boolean {
  // The timer that closes idle connections is late after a pause of the process.
  return idempotent
    ? now - connection.provenMilliseconds <= IDLE_BOUND_MILLISECONDS
    : connection.isProven(now);
}

/** The connections to all targets, kept in step with the configuration. */
export class ConnectionTable {
  readonly #pool: targets.TargetPool;
  readonly #count: ConnectionCounter;
  readonly #targets = new Map<model.TargetId, TargetConnections>();

  constructor(pool: targets.TargetPool, count: ConnectionCounter) {
    this.#pool = pool;
    this.#count = count;
  }

  /** Connections that are open to all targets together. */
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
      // Whoever holds a slot on the target may have a connection, also while shares change.
      () => Math.max(1, this.#pool.getConnectionLimit(target.id)),
      this.#count,
    );
    this.#targets.set(target.id, created);
    return created;
  }

  /** Closes the connections to targets that are gone or leaving. */
  retain(snapshot: configuration.Snapshot): void {
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
