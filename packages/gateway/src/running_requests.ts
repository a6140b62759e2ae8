/**
 * The requests that run now and the connections that they came on, by key.
 *
 * A withdrawn key ends its running requests at once, and the connections that it was used on as soon
 * as no request of another key runs on them.
 */

import type * as http from "node:http";
import type * as net from "node:net";
import type * as model from "@hemlockwalk/model";
import type * as types from "./types.ts";

/**
 * Keys remembered for one connection. A balancer may carry many callers on one connection; beyond
 * this number the oldest is forgotten, which costs only the closing of an idle connection.
 */
const MAXIMUM_KEYS_PER_CONNECTION = 32;

/** A request between its acceptance and the end of its answer. */
export class RunningRequest {
  readonly #deadlineTimer: NodeJS.Timeout;
  #abort: AbortController | undefined;
  #endReason: types.EndReason | undefined;
  #listener: (() => void) | undefined;

  constructor(leftMilliseconds: number) {
    this.#deadlineTimer = setTimeout(() => this.end("deadline"), Math.max(0, leftMilliseconds));
  }

  /** Why the request was ended early; undefined while it runs. */
  get endReason(): types.EndReason | undefined {
    return this.#endReason;
  }

  /** Aborts when the request is ended early. Created when first asked for: most requests never wait. */
  get signal(): AbortSignal {
    if (this.#abort === undefined) {
      this.#abort = new AbortController();
      if (this.#endReason !== undefined) {
        this.#abort.abort();
      }
    }
    return this.#abort.signal;
  }

  /** Sets what is to be done when the request is ended early; replaces the earlier listener. */
  onEnd(listener: (() => void) | undefined): void {
    this.#listener = listener;
  }

  /** Ends the request early. Only the first reason counts. */
  end(reason: types.EndReason): void {
    if (this.#endReason !== undefined) {
      return;
    }
    this.#endReason = reason;
    this.#abort?.abort();
    this.#listener?.();
  }

  /** The answer is complete; the deadline no longer matters. */
  finish(): void {
    clearTimeout(this.#deadlineTimer);
  }
}

/** A caller's connection. */
class CallerConnection {
  readonly socket: net.Socket;
  readonly keys = new Set<model.KeyDigest>();
  readonly answers = new Set<http.ServerResponse>();
  #closing = false;
  #lastWords: string | undefined;

  constructor(socket: net.Socket) {
    this.socket = socket;
  }

  /**
   * Ends the connection as soon as no answer runs on it.
   *
   * @param lastWords What is sent before the end.
   */
  close(lastWords?: string): void {
    this.#closing = true;
    this.#lastWords = lastWords;
    // An answer that announces the end of the connection would leave no room for last words.
    if (lastWords === undefined) {
      for (const answer of this.answers) {
        answer.shouldKeepAlive = false;
      }
    }
    this.closeIfIdle();
  }

  closeIfIdle(): void {
    if (!this.#closing || this.answers.size > 0) {
      return;
    }
    if (this.#lastWords !== undefined && this.socket.writable) {
      this.socket.write(this.#lastWords);
    }
    this.socket.destroySoon();
  }
}

/** All requests and connections of the gateway's listener. */
export class RunningRequests {
  readonly #requests = new Map<model.KeyDigest, Set<RunningRequest>>();
  readonly #connectionsByKey = new Map<model.KeyDigest, Set<CallerConnection>>();
  readonly #connections = new WeakMap<net.Socket, CallerConnection>();
  readonly #idleWaiters: (() => void)[] = [];
  #count = 0;

  /** Requests whose answer is not complete. */
  get count(): number {
    return this.#count;
  }

  /** Notes that a request came on a connection, until `closeAnswer`. */
  openAnswer(socket: net.Socket, response: http.ServerResponse): void {
    this.#getConnection(socket).answers.add(response);
    this.#count++;
  }

  /** Notes that an answer has ended, complete or not. */
  closeAnswer(socket: net.Socket, response: http.ServerResponse): void {
    const connection = this.#getConnection(socket);
    connection.answers.delete(response);
    connection.closeIfIdle();
    this.#count--;
    if (this.#count === 0) {
      this.#idleWaiters.splice(0).forEach((resolve) => resolve());
    }
  }

  /**
   * Ends a connection on which something unreadable came. Requests before it are still answered; one
   * whose own body is unreadable is cut off, since it can never be complete.
   *
   * @returns Whether the last words will be sent.
   */
  refuseConnection(socket: net.Socket, lastWords: string): boolean {
    const connection = this.#getConnection(socket);
    const isBodyBroken = [...connection.answers].some((answer) => !answer.req.complete);
    if (isBodyBroken) {
      socket.destroy();
      return false;
    }
    connection.close(lastWords);
    return true;
  }

  /** Notes that a request with a key runs, until `remove`. */
  add(request: RunningRequest, key: model.KeyDigest, socket: net.Socket): void {
    addToSet(this.#requests, key, request);
    const connection = this.#getConnection(socket);
    if (connection.keys.has(key)) {
      return;
    }
    connection.keys.add(key);
    addToSet(this.#connectionsByKey, key, connection);
    if (connection.keys.size > MAXIMUM_KEYS_PER_CONNECTION) {
      const [oldest] = connection.keys;
      this.#forgetKey(connection, oldest as model.KeyDigest);
    }
  }

  remove(request: RunningRequest, key: model.KeyDigest): void {
    removeFromSet(this.#requests, key, request);
  }

  /**
   * Ends everything that a withdrawn key runs.
   *
   * @returns How many requests were ended.
   */
  withdraw(key: model.KeyDigest): number {
    const requests = [...this.#requests.get(key) ?? []];
    for (const request of requests) {
      request.end("key_withdrawn");
    }
    for (const connection of this.#connectionsByKey.get(key) ?? []) {
      connection.close();
    }
    return requests.length;
  }

  /** Resolves when no answer runs. */
  async waitUntilIdle(): Promise<void> {
    if (this.#count > 0) {
      await new Promise<void>((resolve) => this.#idleWaiters.push(resolve));
    }
  }

  #getConnection(socket: net.Socket): CallerConnection {
    let connection = this.#connections.get(socket);
    if (connection === undefined) {
      const created = new CallerConnection(socket);
      connection = created;
      this.#connections.set(socket, created);
      socket.once("close", () => {
        for (const key of [...created.keys]) {
          this.#forgetKey(created, key);
        }
      });
    }
    return connection;
  }

  #forgetKey(connection: CallerConnection, key: model.KeyDigest): void {
    connection.keys.delete(key);
    removeFromSet(this.#connectionsByKey, key, connection);
  }
}

function addToSet<Key, Value>(map: Map<Key, Set<Value>>, key: Key, value: Value): void {
  const set = map.get(key);
  if (set === undefined) {
    map.set(key, new Set([value]));
  } else {
    set.add(value);
  }
}

function removeFromSet<Key, Value>(map: Map<Key, Set<Value>>, key: Key, value: Value): void {
  const set = map.get(key);
  set?.delete(value);
  if (set?.size === 0) {
    map.delete(key);
  }
}
