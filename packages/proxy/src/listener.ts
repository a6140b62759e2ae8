/**
 * The listeners for callers and for the readiness checks of the platform's load balancer.
 */

import * as http from "node:http";
import type * as net from "node:net";
import type * as declarations from "@hemlockwalk/declarations";
import * as kernel from "@hemlockwalk/kernel";
import * as records from "./connection_record.ts";
import type * as contexts from "./request_context.ts";
import * as handlers from "./request_handler.ts";
import type * as types from "./types.ts";

/** Largest request head that is read at all; the declared limit is checked afterwards. */
const MAX_HEAD_BYTES = 65_536;

/** In force until the first declarations arrive. */
const DEFAULT_IDLE_MILLISECONDS = 15_000;
const DEFAULT_HEADER_MILLISECONDS = 5_000;

/**
 * Time until the load balancer has stopped sending requests: it removes a VM after two failed
 * readiness checks, a second apart.
 */
const BALANCER_LAG_MILLISECONDS = 2_800;

/** Part of the grace period that remains when the last requests are cut off. */
const EXIT_MARGIN_MILLISECONDS = 300;

const DRAIN_POLL_MILLISECONDS = 50;

/** Settings of the listener. */
export interface ListenerOptions {
  /** IP number and port for callers. */
  readonly callerAddress: string;
  readonly bounds: types.ProxyBounds;
  readonly store: declarations.DeclarationStore;
  readonly createContext: (isStopping: () => boolean) => contexts.RequestContext;
  /** Sets what handles the requests that other VMs pass on to this one. */
  readonly onForwarded: (listener: http.RequestListener) => void;
  readonly logger: kernel.ComponentLogger;
  readonly metrics: kernel.Metrics;
}

/** The requests of a connection. */
interface ConnectionState {
  readonly running: Map<handlers.RequestHandler, http.ServerResponse>;
  answered: number;
  hasAnnouncedEnd: boolean;
}

/** Accepts callers' connections and passes their requests to handlers. */
export class CallerListener implements kernel.Service {
  readonly #options: ListenerOptions;
  readonly #server: http.Server;
  readonly #record: records.ConnectionRecord;
  readonly #connections = new Map<net.Socket, ConnectionState>();
  #runningCount = 0;
  #isStopping = false;

  constructor(options: ListenerOptions) {
    this.#options = options;
    this.#record = new records.ConnectionRecord(options.logger, options.metrics);
    const context = options.createContext(() => this.#isStopping);
    this.#server = http.createServer({
      maxHeaderSize: MAX_HEAD_BYTES,
      keepAliveTimeout: DEFAULT_IDLE_MILLISECONDS,
      headersTimeout: DEFAULT_HEADER_MILLISECONDS,
      requestTimeout: 0,
      connectionsCheckingInterval: 1_000,
      noDelay: true,
    });
    this.#server.on(
      "request",
      (request, response) => this.#handle(context, request, response, false),
    );
    options.onForwarded((request, response) => this.#handle(context, request, response, true));
    options.store.onVersion((view) => {
      const { idleMilliseconds, headerMilliseconds } = view.declarations.limits;
      this.#server.keepAliveTimeout = idleMilliseconds;
      this.#server.headersTimeout = headerMilliseconds;
    });
  }

  get isStopping(): boolean {
    return this.#isStopping;
  }

  async start(): Promise<void> {
    await kernel.listen(this.#server, this.#options.callerAddress);
  }

  /** Keeps serving until the load balancer has removed this VM, then waits for running requests. */
  async drain(): Promise<void> {
    this.#isStopping = true;
    const startedAt = kernel.getMonotonicMilliseconds();
    const endsAt = startedAt + this.#options.bounds.graceMilliseconds - EXIT_MARGIN_MILLISECONDS;
    await kernel.sleep(BALANCER_LAG_MILLISECONDS);
    // Accepts no new connections and closes idle ones; those in use close after their next
    // response.
    this.#server.close();
    while (this.#runningCount > 0 && kernel.getMonotonicMilliseconds() < endsAt) {
      await kernel.sleep(DRAIN_POLL_MILLISECONDS);
    }
    this.#options.logger.write(kernel.LogMessages.drained, { running: this.#runningCount });
  }

  async stop(): Promise<void> {
    // What was owed on them is logged when they have closed.
    const closed = [...this.#connections.keys()].map((socket) =>
      new Promise<void>((resolve) => socket.once("close", resolve))
    );
    this.#server.closeAllConnections();
    await Promise.all(closed);
  }

  #handle(
    context: contexts.RequestContext,
    request: http.IncomingMessage,
    response: http.ServerResponse,
    isForwarded: boolean,
  ): void {
    response.sendDate = false;
    const { socket } = request;
    // A response is sent on after it was decided: a long one is streamed, and its caller reads it at
    // its own pace.
    const closed = new Promise<void>((resolve) => response.once("close", resolve));
    const handler = new handlers.RequestHandler(context, request, response, isForwarded);
    const connection = this.#connections.get(socket) ?? this.#track(socket);
    connection.running.set(handler, response);
    response.once("finish", () => {
      connection.answered++;
      connection.hasAnnouncedEnd = handler.announcesEnd || !response.shouldKeepAlive;
    });
    this.#runningCount++;
    void handler.run().catch((error: unknown) => {
      this.#options.logger.write(kernel.LogMessages.unexpectedRequestError, {
        error: error instanceof Error ? error.stack : String(error),
      });
      response.destroy();
    }).then(() => closed).finally(() => {
      connection.running.delete(handler);
      this.#runningCount--;
    });
  }

  /** Starts to track the requests of a connection. */
  #track(socket: net.Socket): ConnectionState {
    const connection: ConnectionState = {
      running: new Map(),
      answered: 0,
      hasAnnouncedEnd: false,
    };
    this.#connections.set(socket, connection);
    socket.once("close", (hasError) => this.#onSocketClosed(socket, hasError));
    return connection;
  }

  #onSocketClosed(socket: net.Socket, hasError: boolean): void {
    const connection = this.#connections.get(socket);
    this.#connections.delete(socket);
    if (connection === undefined) {
      return;
    }
    const unanswered = [...connection.running].filter(([, response]) => !response.writableFinished)
      .map(([{ id, isPassedOn }]) => ({ id, isPassedOn }));
    this.#record.write({
      ending: getEnding(socket, connection.hasAnnouncedEnd, hasError),
      isStopping: this.#isStopping,
      answered: connection.answered,
      unanswered,
      unsentBytes: socket.writableLength,
    });
    for (const handler of connection.running.keys()) {
      handler.onCallerClosed();
    }
  }
}

function getEnding(
  socket: net.Socket,
  hasAnnouncedEnd: boolean,
  hasError: boolean,
): records.ConnectionEnding {
  if (hasAnnouncedEnd) {
    return "announced";
  }
  if (hasError) {
    return "failed";
  }
  return socket.readableEnded ? "caller" : "closed";
}

/** Responds to readiness checks of the load balancer. */
export class ReadinessListener implements kernel.Service {
  readonly #address: string;
  readonly #server: http.Server;

  /** @param path Path of the readiness check. */
  constructor(address: string, path: string, isReady: () => boolean) {
    this.#address = address;
    this.#server = http.createServer((request, response) => {
      const isKnown = request.url === path;
      response.writeHead(!isKnown ? 404 : isReady() ? 200 : 503, { "Content-Length": 0 });
      response.end();
    });
  }

  async start(): Promise<void> {
    await kernel.listen(this.#server, this.#address);
  }

  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
