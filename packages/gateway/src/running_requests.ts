/**
 * The running requests and their callers' connections, by key.
 *
 * When a key is withdrawn, its running requests end immediately. The connections on which it was
 * used close as soon as no request of another key is running on them.
 */

import type * as http from "node:http";
import type * as net from "node:net";
import process from "node:process";
import type * as model from "@hemlockwalk/model";
import type * as types from "./types.ts";

/**
 * Most keys that are tracked for one connection, since a balancer may send requests of many callers
 * on one. Beyond this number the oldest key is dropped. If it is withdrawn later, the connection
 * stays open, but the key's running requests still end.
 */
const MAXIMUM_KEYS_PER_CONNECTION = 32;

/** A request from its acceptance to the end of its response. */
export class RunningRequest {
  readonly #deadlineTimer: NodeJS.Timeout;
  #abort: AbortController | undefined;
  #endReason: types.EndReason | undefined;
  #listener: (() => void) | undefined;

  constructor(leftMilliseconds: number) {
    this.#deadlineTimer = setTimeout(() => this.end("deadline"), Math.max(0, leftMilliseconds));
  }

  /** Why the request was ended early; undefined otherwise. */
  get endReason(): types.EndReason | undefined {
    return this.#endReason;
  }

  /** Aborts when the request is ended early. Created on first use: most requests never wait. */
  get signal(): AbortSignal {
    if (this.#abort === undefined) {
      this.#abort = new AbortController();
      if (this.#endReason !== undefined) {
        this.#abort.abort();
      }
    }
    return this.#abort.signal;
  }

  /** Sets the listener for an early end of the request, replacing the previous one. */
  onEnd(listener: (() => void) | undefined): void {
    this.#listener = listener;
  }

  /** Ends the request early. Calls after the first have no effect. */
  end(reason: types.EndReason): void {
    if (this.#endReason !== undefined) {
      return;
    }
    this.#endReason = reason;
    this.#abort?.abort();
    this.#listener?.();
  }

  /** Stops the deadline timer once the response has ended. */
  finish(): void {
    clearTimeout(this.#deadlineTimer);
  }
}

/** A caller's connection. */
class CallerConnection {
  readonly socket: net.Socket;
  readonly keys = new Set<model.KeyDigest>();
  /** Responses that have not ended, with the callbacks for their end. */
  readonly answers = new Map<http.ServerResponse, () => void>();
  #closing = false;
  #isBroken = false;
  #finalResponse: string | undefined;

  constructor(socket: net.Socket) {
    this.socket = socket;
  }

  /**
   * Closes the connection once all its responses have ended.
   *
   * @param finalResponse Raw response to send before the close.
   */
  close(finalResponse?: string): void {
    this.#closing = true;
    this.#finalResponse = finalResponse;
    // A response with `Connection: close` must be the last one, so none may announce the close if a
    // final response follows.
    if (finalResponse === undefined) {
      for (const answer of this.answers.keys()) {
        answer.shouldKeepAlive = false;
      }
    }
    this.closeIfIdle();
  }

  /** Whether the connection can't carry a further response. */
  get isBroken(): boolean {
    return this.#isBroken;
  }

  /** Destroys the connection once all its responses have ended. */
  destroyOnceIdle(): void {
    this.#closing = true;
    this.#isBroken = true;
  }

  closeIfIdle(): void {
    if (!this.#closing || this.answers.size > 0) {
      return;
    }
    if (this.#isBroken) {
      this.socket.destroy();
      return;
    }
    if (this.#finalResponse !== undefined && this.socket.writable) {
      this.socket.write(this.#finalResponse);
    }
    this.socket.destroySoon();
  }
}

/** All running requests and callers' connections of the listener. */
export class RunningRequests {
  readonly #requests = new Map<model.KeyDigest, Set<RunningRequest>>();
  readonly #connectionsByKey = new Map<model.KeyDigest, Set<CallerConnection>>();
  readonly #connections = new WeakMap<net.Socket, CallerConnection>();
  readonly #idleWaiters: (() => void)[] = [];
  #count = 0;

  /** Number of requests whose response has not ended. */
  get count(): number {
    return this.#count;
  }

  /**
   * Tracks the response to a request that arrived on a connection.
   *
   * @param onClose Called once when the response has ended, complete or not.
   */
  trackAnswer(socket: net.Socket, response: http.ServerResponse, onClose: () => void): void {
    const connection = this.#getConnection(socket);
    connection.answers.set(response, onClose);
    this.#count++;
    response.once("close", () => this.#closeAnswer(connection, response));
    if (socket.destroyed) {
      // The parser may still emit requests after their connection has closed.
      process.nextTick(() => this.#closeAnswer(connection, response));
    }
  }

  /**
   * Refuses unparsable input and closes its connection. Earlier requests are still answered. If the
   * input belongs to the body of a running request, that request can't complete, so the connection
   * is destroyed after the earlier responses.
   *
   * @returns Whether the final response will be sent.
   */
  refuseConnection(socket: net.Socket, finalResponse: string): boolean {
    const connection = this.#getConnection(socket);
    if (connection.isBroken) {
      return false;
    }
    const broken = [...connection.answers.keys()].find((answer) => !answer.req.complete);
    if (broken !== undefined) {
      this.destroyAfterEarlier(broken);
      return false;
    }
    connection.close(finalResponse);
    return true;
  }

  /**
   * Gives up the latest request of a connection, whose body is not read to its end. The connection
   * is destroyed once the earlier requests, which may be running at targets, have been answered.
   */
  destroyAfterEarlier(answer: http.ServerResponse): void {
    const connection = this.#getConnection(answer.req.socket);
    connection.destroyOnceIdle();
    this.#closeAnswer(connection, answer);
    connection.closeIfIdle();
  }

  /** Tracks a request with a key until `remove` is called. */
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
      this.#dropKey(connection, oldest as model.KeyDigest);
    }
  }

  remove(request: RunningRequest, key: model.KeyDigest): void {
    removeFromSet(this.#requests, key, request);
  }

  /**
   * Ends the running requests of a withdrawn key and closes the connections on which it was used.
   *
   * @returns Number of ended requests.
   */
  withdrawKey(key: model.KeyDigest): number {
    const requests = [...this.#requests.get(key) ?? []];
    for (const request of requests) {
      request.end("key_withdrawn");
    }
    for (const connection of this.#connectionsByKey.get(key) ?? []) {
      connection.close();
    }
    return requests.length;
  }

  /** Resolves when all responses have ended. */
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
      socket.once("close", () => this.#closeConnection(created));
    }
    return connection;
  }

  #closeConnection(connection: CallerConnection): void {
    for (const key of [...connection.keys]) {
      this.#dropKey(connection, key);
    }
    // Node emits no `close` event for a response that is queued behind another on the connection.
    for (const response of [...connection.answers.keys()]) {
      this.#closeAnswer(connection, response);
    }
  }

  #closeAnswer(connection: CallerConnection, response: http.ServerResponse): void {
    const onClose = connection.answers.get(response);
    if (onClose === undefined) {
      return;
    }
    connection.answers.delete(response);
    onClose();
    connection.closeIfIdle();
    this.#count--;
    if (this.#count === 0) {
      this.#idleWaiters.splice(0).forEach((resolve) => resolve());
    }
  }

  #dropKey(connection: CallerConnection, key: model.KeyDigest): void {
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
