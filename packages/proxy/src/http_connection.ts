/**
 * Binds the connections of callers to the HTTP server of Node.js.
 *
 * The server parses requests and writes responses in order. Two methods of its sockets are replaced,
 * so that the `CallerConnection` decides in its place: `destroySoon`, which the server calls behind a
 * response that ends the connection, and `resume`, which it calls behind each request.
 */

import type * as http from "node:http";
import * as net from "node:net";
import type * as stream from "node:stream";
import type * as budgets from "./ahead_budget.ts";
import type * as connections from "./caller_connection.ts";
import type * as handlers from "./request_handler.ts";

/** The socket of a connection. */
export class SocketTransport implements connections.ConnectionTransport {
  readonly #socket: net.Socket;
  #isReadingPaused = false;

  constructor(socket: net.Socket) {
    this.#socket = socket;
    socket.resume = () => this.#isReadingPaused ? socket : net.Socket.prototype.resume.call(socket);
    // A request for a tunnel takes the server's own listener away.
    socket.on("error", () => undefined);
  }

  /** Sets what is called when the server would end the connection. */
  onServerEnd(listener: () => void): void {
    this.#socket.destroySoon = listener;
  }

  get bytesRead(): number {
    return this.#socket.bytesRead;
  }

  get unsentBytes(): number {
    return this.#socket.writableLength;
  }

  get hasFailed(): boolean {
    return this.#socket.errored !== null;
  }

  get isEndedByCaller(): boolean {
    return this.#socket.readableEnded;
  }

  pauseReading(): void {
    this.#isReadingPaused = true;
    this.#socket.pause();
  }

  resumeReading(): void {
    this.#isReadingPaused = false;
    this.#socket.resume();
  }

  end(lastBytes?: string): void {
    this.#socket.setTimeout(0);
    if (lastBytes === undefined) {
      this.#socket.end();
    } else {
      this.#socket.end(lastBytes, "latin1");
    }
  }

  close(): void {
    this.#socket.destroy();
  }
}

/** A request of the HTTP server and its handler. */
export class HttpExchange implements connections.ConnectionExchange {
  readonly #request: http.IncomingMessage;
  readonly #handler: handlers.RequestHandler;
  readonly #guard: (run: () => Promise<void>) => void;
  #isStarted = false;

  /** @param guard Calls a method that runs the handler and takes care of its errors. */
  constructor(
    request: http.IncomingMessage,
    handler: handlers.RequestHandler,
    guard: (run: () => Promise<void>) => void,
  ) {
    this.#request = request;
    this.#handler = handler;
    this.#guard = guard;
  }

  get id(): string {
    return this.#handler.id;
  }

  get isRead(): boolean {
    return this.#request.complete;
  }

  get isPassedOn(): boolean {
    return this.#handler.isPassedOn;
  }

  get mayRunAhead(): boolean {
    return this.#handler.mayRunAhead;
  }

  get isResponseShort(): boolean {
    return this.#handler.isResponseShort;
  }

  start(hasWaited: boolean): void {
    this.#isStarted = true;
    this.#guard(() => this.#handler.run(hasWaited));
  }

  startAhead(reservation: budgets.AheadReservation, before: number): void {
    this.#isStarted = true;
    this.#guard(() => this.#handler.runAhead(reservation, before));
  }

  takeTurn(): void {
    this.#handler.takeTurn();
  }

  dropRest(): void {
    this.#request.unpipe();
    this.#request.resume();
  }

  reject(): void {
    this.#handler.onInvalidRequest();
  }

  cutOff(): void {
    this.#handler.cutOff();
  }

  cancel(): void {
    if (this.#isStarted) {
      this.#handler.onCallerClosed();
    }
  }
}

/** Code of the error when the caller does not send a head in time. */
const TIMEOUT_CODE = "ERR_HTTP_REQUEST_TIMEOUT";

/** Status lines of the responses to what is no request that this server handles. */
const INVALID_INPUT_STATUSES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
  [TIMEOUT_CODE]: "408 Request Timeout",
};

/** Code of the error when the caller ends its side within a request. */
const CALLER_ENDED_CODE = "HPE_INVALID_EOF_STATE";

/** Whether an error of the server concerns what the caller has sent, not the connection itself. */
function isInputError(code: string | undefined): boolean {
  return code !== undefined && (code.startsWith("HPE_") || code in INVALID_INPUT_STATUSES);
}

/** Creates the response to bytes that are no request, by the code of the parser's error. */
function createInvalidInputResponse(code: string | undefined): string {
  return createEmptyResponse(INVALID_INPUT_STATUSES[code ?? ""] ?? "400 Bad Request");
}

/**
 * Handles an error of the server on a connection: of what the caller has sent, or of the connection.
 * Without a handler, the server would respond by itself before the responses that are owed.
 */
export function handleClientError(
  error: NodeJS.ErrnoException,
  socket: stream.Duplex,
  connection: connections.CallerConnection | undefined,
): void {
  // The server takes a connection for a slow head from its beginning on, but nothing of a head was
  // sent: it is idle.
  if (error.code === TIMEOUT_CODE && connection?.isUnused === true) {
    return;
  }
  if (connection === undefined || !isInputError(error.code)) {
    socket.destroy();
  } else if (error.code === CALLER_ENDED_CODE) {
    socket.end();
  } else {
    connection.onInvalidInput(createInvalidInputResponse(error.code));
  }
}

/** Creates the response to a request to become a tunnel. */
export function createTunnelResponse(): string {
  return createEmptyResponse("501 Not Implemented");
}

function createEmptyResponse(status: string): string {
  return `HTTP/1.1 ${status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`;
}
