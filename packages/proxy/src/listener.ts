/**
 * The listeners for callers and for the readiness checks of the platform's load balancer.
 */

import * as http from "node:http";
import type * as net from "node:net";
import type * as stream from "node:stream";
import type * as declarations from "@hemlockwalk/declarations";
import * as kernel from "@hemlockwalk/kernel";
import * as budgets from "./ahead_budget.ts";
import * as connections from "./caller_connection.ts";
import * as records from "./connection_record.ts";
import * as bindings from "./http_connection.ts";
import type * as contexts from "./request_context.ts";
import * as handlers from "./request_handler.ts";
import * as stopTimes from "./stop_times.ts";
import type * as types from "./types.ts";

/** Largest request head that is read at all; the declared limit is checked afterwards. */
const MAX_HEAD_BYTES = 65_536;

/** In force until the first declarations arrive. */
const DEFAULT_IDLE_MILLISECONDS = 15_000;
const DEFAULT_HEADER_MILLISECONDS = 5_000;

const DRAIN_POLL_MILLISECONDS = 50;

/** Longest time for which connections are accepted that wait for it at the close. */
const MAX_ACCEPTING_MILLISECONDS = 100;

/** Interval between two polls from which the process was busy or stood still. */
const DELAYED_POLL_MILLISECONDS = 2 * DRAIN_POLL_MILLISECONDS;

/**
 * Time to read the responses that targets have sent meanwhile. One turn of the event loop reads no
 * more of each than the system buffers for a connection that is not read.
 */
const READ_RESPONSES_MILLISECONDS = 50;

/** Settings of the listener. */
export interface ListenerOptions {
  /** IP number and port for callers. */
  readonly callerAddress: string;
  readonly bounds: types.ProxyBounds;
  readonly store: declarations.DeclarationStore;
  readonly createContext: (stop: types.StopState) => contexts.RequestContext;
  /** Sets what handles the requests that other VMs pass on to this one. */
  readonly onForwarded: (listener: http.RequestListener) => void;
  readonly logger: kernel.ComponentLogger;
  readonly metrics: kernel.Metrics;
}

/** The stop of a VM, as its listener carries it out. */
class ListenerStop implements types.StopState {
  isStopping = false;
  cutOffAt = Number.POSITIVE_INFINITY;
  /** Whether the listener accepts no further connections. */
  isClosed = false;
  lateAt = Number.POSITIVE_INFINITY;

  /** The listener closes late if the process was busy or stood still. */
  get isClosing(): boolean {
    return this.isClosed || kernel.getMonotonicMilliseconds() >= this.lateAt;
  }
}

/** Leaves it to the connections themselves when they end. */
class CallerServer extends http.Server {
  override closeIdleConnections(): void {
    // Called by `close`, which takes connections for idle whose response has not been sent.
  }
}

/** Accepts callers' connections and passes their requests to handlers. */
export class CallerListener implements kernel.Service {
  readonly #options: ListenerOptions;
  readonly #server: CallerServer;
  readonly #record: records.ConnectionRecord;
  /** Shared by all connections. */
  readonly #aheadBudget: budgets.AheadBudget;
  readonly #context: contexts.RequestContext;
  /** Open connections of callers, and those of other VMs that have passed requests on. */
  readonly #connections = new Map<net.Socket, connections.CallerConnection>();
  readonly #stop = new ListenerStop();
  /** Connections accepted so far. */
  #accepted = 0;
  /** Requests that run, also those whose callers have left. */
  #running = 0;

  constructor(options: ListenerOptions) {
    this.#options = options;
    this.#record = new records.ConnectionRecord(options.logger, options.metrics);
    this.#aheadBudget = new budgets.AheadBudget(
      options.metrics.createCounter(
        "hemlockwalk_requests_ahead_total",
        "Requests that ran ahead of their turn on their connection, by event.",
        ["event"],
      ),
    );
    this.#context = options.createContext(this.#stop);
    this.#server = new CallerServer({
      maxHeaderSize: MAX_HEAD_BYTES,
      keepAliveTimeout: DEFAULT_IDLE_MILLISECONDS,
      headersTimeout: DEFAULT_HEADER_MILLISECONDS,
      requestTimeout: 0,
      connectionsCheckingInterval: 1_000,
      noDelay: true,
      // The server would respond by itself, unknown to the connection.
      requireHostHeader: false,
    });
    this.#server.on("connection", (socket) => {
      this.#accepted++;
      // The server itself bounds only the time between requests.
      socket.setTimeout(this.#server.keepAliveTimeout);
      this.#track(socket);
    });
    this.#server.on("request", (request, response) => this.#handle(request, response, false));
    this.#server.on("timeout", (socket: net.Socket) => void this.#handleTimeout(socket));
    this.#server.on(
      "checkExpectation",
      (request, response) => this.#handle(request, response, false),
    );
    this.#server.on(
      "clientError",
      (error, socket) => bindings.handleClientError(error, socket, this.#findConnection(socket)),
    );
    this.#server.on(
      "connect",
      (request) =>
        this.#connections.get(request.socket)?.onInvalidInput(bindings.createTunnelResponse()),
    );
    options.onForwarded((request, response) => this.#handle(request, response, true));
    options.store.onVersion((view) => {
      const { idleMilliseconds, headerMilliseconds } = view.declarations.limits;
      this.#server.keepAliveTimeout = idleMilliseconds;
      this.#server.headersTimeout = headerMilliseconds;
    });
  }

  /** What the handlers of all requests share. */
  get context(): contexts.RequestContext {
    return this.#context;
  }

  get isStopping(): boolean {
    return this.#stop.isStopping;
  }

  async start(): Promise<void> {
    await kernel.listen(this.#server, this.#options.callerAddress);
  }

  /**
   * Keeps serving until the load balancer has removed this VM, then waits until callers have their
   * responses.
   *
   * @param requestedAt Monotonic time at which the stop was requested, in milliseconds. The grace
   *     period began then.
   */
  async drain(requestedAt: number): Promise<void> {
    this.#stop.isStopping = true;
    const times = stopTimes.getStopTimes(requestedAt, this.#options.bounds.graceMilliseconds);
    this.#stop.cutOffAt = times.cutOffAt;
    this.#stop.lateAt = times.lateAt;
    await kernel.sleepAndHandleInput(times.closesAt - kernel.getMonotonicMilliseconds());
    await this.#acceptWaiting();
    this.#stop.isClosed = true;
    this.#server.close();
    this.#connections.forEach((connection) => connection.endIfIdle());
    const wasDelayed = await this.#waitWhile(
      () => this.#connections.size > 0 || this.#running > 0,
      times.cutOffAt,
    );
    await kernel.handleInput();
    if (wasDelayed) {
      const left = times.endsAt - kernel.getMonotonicMilliseconds();
      await kernel.sleep(Math.min(READ_RESPONSES_MILLISECONDS, Math.max(0, left)));
    }
    const open = [...this.#connections.values()];
    const running = open.filter(({ isBusy }) => isBusy).length;
    this.#options.logger.write(kernel.LogMessages.drained, { running });
    open.forEach((connection) => connection.cutOff());
    await this.#waitWhile(() => this.#connections.size > 0, times.endsAt);
  }

  /**
   * Accepts the connections that the system has opened, and reads what has arrived on open ones: it
   * would get no answer after the close. The runtime accepts one connection each time that it looks
   * for input.
   */
  async #acceptWaiting(): Promise<void> {
    const endsAt = kernel.getMonotonicMilliseconds() + MAX_ACCEPTING_MILLISECONDS;
    let before: number;
    do {
      before = this.#accepted;
      await kernel.handleInput();
    } while (this.#accepted > before && kernel.getMonotonicMilliseconds() < endsAt);
  }

  /** Ends a connection that is idle, unless the VM was busy and has not read what was sent on it. */
  async #handleTimeout(socket: net.Socket): Promise<void> {
    const { bytesRead } = socket;
    await kernel.handleInput();
    if (socket.bytesRead === bytesRead) {
      this.#connections.get(socket)?.onIdleTimeout();
    }
  }

  /**
   * Waits while something goes on, but no longer than until a monotonic time. Returns whether the
   * process was busy or stood still at the end.
   */
  async #waitWhile(goesOn: () => boolean, endsAt: number): Promise<boolean> {
    let wasDelayed = false;
    while (goesOn() && kernel.getMonotonicMilliseconds() < endsAt) {
      const polledAt = kernel.getMonotonicMilliseconds();
      await kernel.sleep(DRAIN_POLL_MILLISECONDS);
      wasDelayed = kernel.getMonotonicMilliseconds() - polledAt >= DELAYED_POLL_MILLISECONDS;
    }
    return wasDelayed;
  }

  async stop(): Promise<void> {
    // What was owed on them is logged when they have closed.
    const sockets = [...this.#connections.keys()];
    const closed = sockets.map((socket) =>
      new Promise<void>((resolve) => socket.once("close", resolve))
    );
    sockets.forEach((socket) => socket.destroy());
    await Promise.all(closed);
  }

  #handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    isForwarded: boolean,
  ): void {
    response.sendDate = false;
    const connection = this.#connections.get(request.socket) ?? this.#track(request.socket);
    const handler = new handlers.RequestHandler(
      this.#context,
      request,
      response,
      connection,
      isForwarded,
    );
    const exchange = new bindings.HttpExchange(
      request,
      handler,
      (run) => void this.#guard(handler, run),
    );
    response.once("finish", () => {
      // It is emitted as well when the connection is closed.
      if (!request.socket.destroyed) {
        connection.onResponseSent();
      }
    });
    request.once("end", () => {
      if (kernel.hasFieldNames(request.rawTrailers)) {
        connection.onRequestRead(exchange);
      } else {
        connection.onMalformedEnd(exchange);
      }
    });
    connection.add(exchange);
  }

  async #guard(handler: handlers.RequestHandler, run: () => Promise<void>): Promise<void> {
    this.#running++;
    try {
      await run();
    } catch (error) {
      this.#options.logger.write(kernel.LogMessages.unexpectedRequestError, {
        error: error instanceof Error ? error.stack : String(error),
      });
      handler.fail();
    } finally {
      this.#running--;
    }
  }

  #findConnection(socket: stream.Duplex): connections.CallerConnection | undefined {
    return this.#connections.get(socket as net.Socket);
  }

  /** Starts to track a connection. */
  #track(socket: net.Socket): connections.CallerConnection {
    const transport = new bindings.SocketTransport(socket);
    const connection = new connections.CallerConnection(
      transport,
      this.#record,
      this.#stop,
      this.#aheadBudget,
    );
    this.#connections.set(socket, connection);
    transport.onServerEnd(() => connection.requireEnd());
    socket.once("close", () => {
      this.#connections.delete(socket);
      connection.onClosed();
    });
    return connection;
  }
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
