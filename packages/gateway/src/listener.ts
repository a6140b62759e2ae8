/**
 * The caller-facing socket: HTTP or HTTPS, its bounds, and what is said to those who break them.
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

/** How often slow senders are looked for. */
const CHECK_INTERVAL_MILLISECONDS = 500;

/** Bounds what no route's own timeout bounds, such as the rest of a refused request. */
const REQUEST_TIMEOUT_MILLISECONDS = 660_000;

/** Time for connections without a complete request to send it, once the listener is closed. */
const LAST_REQUEST_MILLISECONDS = 2_000;

const LAST_REQUEST_STEP_MILLISECONDS = 20;

/** How a request is handled; `wantsContinue` when the caller waits for leave to send its body. */
export type RequestHandler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
  wantsContinue: boolean,
) => void;

/** Accepts connections and refuses what is no HTTP request. */
export class Listener {
  readonly #settings: model.ListenerSettings;
  readonly #running: running.RunningRequests;
  readonly #meters: meters.GatewayMeters;
  readonly #server: http.Server;
  readonly #tlsWatcher: tlsFiles.TlsFileWatcher | undefined;

  /** @throws {tlsFiles.TlsStartError} When the TLS files cannot be used. */
  constructor(
    settings: model.ListenerSettings,
    handler: RequestHandler,
    runningRequests: running.RunningRequests,
    gatewayMeters: meters.GatewayMeters,
    logger: kernel.PartLogger,
  ) {
    this.#settings = settings;
    this.#running = runningRequests;
    this.#meters = gatewayMeters;
    const options: http.ServerOptions = {
      maxHeaderSize: settings.maximumHeaderBytes,
      headersTimeout: settings.headerTimeoutMilliseconds,
      requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
      keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
      connectionsCheckingInterval: CHECK_INTERVAL_MILLISECONDS,
      insecureHTTPParser: false,
      // A missing host is refused by the request check, with the usual body.
      requireHostHeader: false,
    };
    if (settings.tls === undefined) {
      this.#server = http.createServer(options);
    } else {
      const server = createTlsServer(options, settings.tls);
      this.#server = server;
      this.#tlsWatcher = new tlsFiles.TlsFileWatcher(settings.tls, server, logger, gatewayMeters);
    }
    // Headers beyond a count would be dropped unseen; the bound on their bytes is enough.
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
      this.#refuseBroken(error, socket as net.Socket);
    });
  }

  /** The port that the listener is bound to. */
  get port(): number {
    return (this.#server.address() as net.AddressInfo).port;
  }

  async start(): Promise<void> {
    const place = kernel.getDefined(
      model.splitSocketAddress(this.#settings.address),
      "Settings hold checked addresses.",
    );
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(place.port, place.host, resolve);
    });
    this.#tlsWatcher?.start();
  }

  /** Takes no new connections and resolves when the open ones have been served. */
  async close(): Promise<void> {
    this.#server.close();
    this.#server.closeIdleConnections();
    await this.#running.waitUntilIdle();
    // A connection that was just accepted has a request on its way.
    const until = kernel.getMonotonicMilliseconds() + LAST_REQUEST_MILLISECONDS;
    while (
      await this.#countConnections() > 0 && kernel.getMonotonicMilliseconds() < until
    ) {
      this.#server.closeIdleConnections();
      await kernel.sleep(LAST_REQUEST_STEP_MILLISECONDS);
    }
    await this.#running.waitUntilIdle();
  }

  /** Ends all connections at once. */
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

  #refuseBroken(error: NodeJS.ErrnoException, socket: net.Socket): void {
    const row = findRow(error.code ?? "");
    // A connection that was opened ahead of need and never used is no request.
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
  names: tlsFiles.TlsFileNames,
): https.Server {
  const material = tlsFiles.readTlsFiles(names);
  if (material.isErr()) {
    throw new tlsFiles.TlsStartError(
      `The TLS files cannot be used: ${material.error.detail}`,
    );
  }
  return https.createServer({ ...options, ...material.value, minVersion: "TLSv1.2" });
}

/** The row for a code of the HTTP parser; undefined when the connection itself broke. */
function findRow(code: string): refusals.RefusalRow | undefined {
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
