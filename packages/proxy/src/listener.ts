/**
 * The listeners for callers and for the readiness checks of the platform's load balancer.
 */

import * as http from "node:http";
import type * as net from "node:net";
import type * as declarations from "@hemlockwalk/declarations";
import * as kernel from "@hemlockwalk/kernel";
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
}

/** Accepts callers' connections and passes their requests to handlers. */
export class CallerListener implements kernel.Service {
  readonly #options: ListenerOptions;
  readonly #server: http.Server;
  readonly #running = new Map<net.Socket, Set<handlers.RequestHandler>>();
  #runningCount = 0;
  #isStopping = false;

  constructor(options: ListenerOptions) {
    this.#options = options;
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

  stop(): void {
    this.#server.closeAllConnections();
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
    const running = this.#running.get(socket) ?? this.#track(socket);
    running.add(handler);
    this.#runningCount++;
    void handler.run().catch((error: unknown) => {
      this.#options.logger.write(kernel.LogMessages.unexpectedRequestError, {
        error: error instanceof Error ? error.stack : String(error),
      });
      response.destroy();
    }).then(() => closed).finally(() => {
      running.delete(handler);
      this.#runningCount--;
    });
  }

  /** Starts to track the requests of a connection. */
  #track(socket: net.Socket): Set<handlers.RequestHandler> {
    const running = new Set<handlers.RequestHandler>();
    this.#running.set(socket, running);
    socket.once("close", () => this.#onSocketClosed(socket));
    return running;
  }

  #onSocketClosed(socket: net.Socket): void {
    for (const handler of this.#running.get(socket) ?? []) {
      handler.onCallerClosed();
    }
    this.#running.delete(socket);
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
