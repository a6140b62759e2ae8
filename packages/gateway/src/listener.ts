/**
 * The HTTP or HTTPS listener for callers: its limits, and the refusals sent when one is exceeded.
 */

import * as http from "node:http";
import * as https from "node:https";
import type * as net from "node:net";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import type * as meters from "./meters.ts";
import * as refusals from "./refusals.ts";
import type * as running from "./running_requests.ts";
import * as tlsFiles from "./tls_files.ts";

/** Longer than the usual 60 s of balancers, so that they close idle connections first. */
const KEEP_ALIVE_MILLISECONDS = 75_000;

/** How often the server checks connections for header and request timeouts. */
const TIMEOUT_CHECK_INTERVAL_MILLISECONDS = 500;

/** Limits what no route timeout covers, such as the rest of a refused request's body. */
const REQUEST_TIMEOUT_MILLISECONDS = 660_000;

/** How long open connections may still deliver a request after the listener is closed. */
const CLOSE_GRACE_MILLISECONDS = 2_000;

const CLOSE_POLL_INTERVAL_MILLISECONDS = 20;

/** Handles one request; `wantsContinue` if the caller waits for `100 Continue` to send its body. */
export type RequestListener = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
  wantsContinue: boolean,
) => void;

/** The part that the servers for HTTP and HTTPS share. */
interface CallerServer extends http.Server {
  /** Closes the connections on which no request is being received. No response may be unsent. */
  closeUnusedConnections(): void;
}

/**
 * `close` and `closeIdleConnections` of Node.js take connections for idle whose response has ended
 * but has not been sent, and would cut it. So the listener decides when idle connections are closed.
 */
class PlainServer extends http.Server implements CallerServer {
  override closeIdleConnections(): void {
    // See `closeUnusedConnections`.
  }

  closeUnusedConnections(): void {
    super.closeIdleConnections();
  }
}

/** See `PlainServer`. */
class TlsServer extends https.Server implements CallerServer {
  override closeIdleConnections(): void {
    // See `closeUnusedConnections`.
  }

  closeUnusedConnections(): void {
    super.closeIdleConnections();
  }
}

/** Accepts callers' connections and refuses input that is not a valid HTTP request. */
export class Listener {
  readonly #settings: model.ListenerSettings;
  readonly #running: running.RunningRequests;
  readonly #meters: meters.GatewayMeters;
  readonly #server: CallerServer;
  readonly #tlsWatcher: tlsFiles.TlsFileWatcher | undefined;

  /** @throws {tlsFiles.TlsStartError} When the TLS files cannot be used. */
  constructor(
    settings: model.ListenerSettings,
    handler: RequestListener,
    runningRequests: running.RunningRequests,
    gatewayMeters: meters.GatewayMeters,
    logger: kernel.ComponentLogger,
  ) {
    this.#settings = settings;
    this.#running = runningRequests;
    this.#meters = gatewayMeters;
    const options: http.ServerOptions = {
      maxHeaderSize: settings.maximumHeaderBytes,
      headersTimeout: settings.headerTimeoutMilliseconds,
      requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
      keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MILLISECONDS,
      insecureHTTPParser: false,
      // The request check refuses a missing Host header, with a problem details body.
      requireHostHeader: false,
    };
    if (settings.tls === undefined) {
      this.#server = new PlainServer(options);
    } else {
      const server = createTlsServer(options, settings.tls);
      this.#server = server;
      this.#tlsWatcher = new tlsFiles.TlsFileWatcher(settings.tls, server, logger, gatewayMeters);
    }
    // Node drops headers above this count without an error. `maxHeaderSize` limits their size.
    this.#server.maxHeadersCount = 0;
    this.#server.on("request", (request, response) => handler(request, response, false));
    this.#server.on("checkContinue", (request, response) => handler(request, response, true));
    this.#server.on("checkExpectation", (_request, response: http.ServerResponse) => {
      this.#count(refusals.Refusals.expectationFailed);
      const refusal = refusals.createNotRunRefusal(refusals.Refusals.expectationFailed);
      refusals.sendRefusal(response, refusal, true);
    });
    this.#server.on("connect", (_request, socket) => {
      this.#refuseSocket(socket as net.Socket, refusals.Refusals.methodNotSupported);
    });
    this.#server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
      this.#refuseClientError(error, socket as net.Socket);
    });
  }

  /** The port that the listener is bound to. */
  get port(): number {
    return (this.#server.address() as net.AddressInfo).port;
  }

  async start(): Promise<void> {
    const socketAddress = kernel.getDefined(
      model.splitSocketAddress(this.#settings.address),
      "Addresses in settings have been validated.",
    );
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(socketAddress.port, socketAddress.host, resolve);
    });
    this.#tlsWatcher?.start();
  }

  /** Accepts no new connections and resolves once the requests on open ones have been served. */
  async close(): Promise<void> {
    this.#server.close();
    await this.#running.waitUntilIdle();
    // A request may still be in transit on a connection that was accepted just before the close.
    const until = kernel.getMonotonicMilliseconds() + CLOSE_GRACE_MILLISECONDS;
    while (
      await this.#countConnections() > 0 && kernel.getMonotonicMilliseconds() < until
    ) {
      if (this.#running.count === 0) {
        this.#server.closeUnusedConnections();
      }
      await kernel.sleep(CLOSE_POLL_INTERVAL_MILLISECONDS);
    }
    await this.#running.waitUntilIdle();
  }

  /** Closes all connections immediately. */
  stop(): void {
    this.#tlsWatcher?.stop();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #countConnections(): Promise<number> {
    return new Promise((resolve) => {
      this.#server.getConnections((error, count) => resolve(error === null ? count : 0));
    });
  }

  #refuseClientError(error: NodeJS.ErrnoException, socket: net.Socket): void {
    const row = findParserRefusal(error.code ?? "");
    // Clients may open connections in advance and never use them, which is no error.
    if (row === undefined || !socket.writable || socket.bytesRead === 0) {
      socket.destroy();
      return;
    }
    this.#refuseSocket(socket, row);
  }

  #refuseSocket(socket: net.Socket, row: refusals.RefusalRow): void {
    const text = refusals.formatRawRefusal(refusals.createNotRunRefusal(row));
    if (this.#running.refuseConnection(socket, text)) {
      this.#count(row);
    }
  }

  #count(row: refusals.RefusalRow): void {
    this.#meters.refusals.inc({ reason: row.reason, run: "no" });
  }
}

function createTlsServer(
  options: http.ServerOptions,
  paths: tlsFiles.TlsFilePaths,
): TlsServer {
  const material = tlsFiles.readTlsFiles(paths);
  if (material.isErr()) {
    throw new tlsFiles.TlsStartError(
      `The TLS files cannot be used: ${material.error.detail}`,
    );
  }
  return new TlsServer({ ...options, ...material.value, minVersion: "TLSv1.2" });
}

/** The refusal for an error code of the HTTP parser; undefined for connection errors. */
function findParserRefusal(code: string): refusals.RefusalRow | undefined {
  switch (code) {
    case "HPE_HEADER_OVERFLOW":
      return refusals.Refusals.headersTooLarge;
    case "HPE_CHUNK_EXTENSIONS_OVERFLOW":
      return refusals.Refusals.bodyTooLarge;
    case "ERR_HTTP_REQUEST_TIMEOUT":
      return refusals.Refusals.requestTooSlow;
    default:
      return code.startsWith("HPE_") ? refusals.Refusals.malformedRequest : undefined;
  }
}
