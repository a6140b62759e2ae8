/**
 * One attempt: sends a request to one target and classifies the result.
 */

import * as http from "node:http";
import type * as net from "node:net";
import * as kernel from "@hemlockwalk/kernel";
import type * as bodies from "./body.ts";
import * as connectionEnds from "./connection_end.ts";
import * as headers from "./headers.ts";
import * as outgoingRequests from "./outgoing_request.ts";
import * as refusals from "./refusals.ts";
import type * as targetConnections from "./target_connections.ts";

/** Responses up to this size are buffered completely before they are forwarded to the caller. */
export const MAX_BUFFERED_ANSWER_BYTES = 262_144;

/** Lowest status of a refusal. */
const MIN_ERROR_STATUS = 400;

/** Most bytes, and longest time, for which the body of an unused response is read. */
const MAX_DISCARDED_BYTES = 65_536;
const MAX_DISCARD_MILLISECONDS = 500;

/**
 * Longest time for which a response is read whose attempt was cancelled. Several times the round trip
 * to a target, also over a link that loses packets.
 */
const MAX_LATE_RESPONSE_MILLISECONDS = 200;

/** A target's response: buffered completely, or its beginning and the stream of the rest. */
export interface TargetAnswer {
  readonly status: number;
  readonly headers: readonly string[];
  /** What has been read of the body. The one that forwards the response takes it out. */
  readonly chunks: Buffer[];
  /** The rest of a long response. */
  readonly rest: http.IncomingMessage | undefined;
  /**
   * Whether all of it has arrived and been read, and ended in order. A response that is reset or
   * stops short never becomes whole, and its `rest` never ends.
   */
  isWhole(): boolean;
  /** Gives up an answer that is not forwarded: reads a little more of it, or closes its connection. */
  discard(): void;
}

/** Why there is no complete response of a target that may have run the request. */
export type FailureReason =
  | "reset"
  | "spoilt"
  /** The response names another request. */
  | "foreign"
  /** A refusal that may be the copy of an earlier one. */
  | "unattributed"
  | "cut_short"
  | "silent"
  | "cancelled";

/** A response by which a target says that it has not run a request. */
export interface TargetRefusal {
  readonly status: number;
  /** Whether it names the request. */
  readonly isNamed: boolean;
  readonly connection: targetConnections.ConnectionUse;
}

/** How an attempt ended. */
export type CallResult =
  | { readonly kind: "answered"; readonly answer: TargetAnswer }
  /** The target cannot have run the request. */
  | {
    readonly kind: "not_run";
    readonly reason: "unreachable" | "shed" | "other_target" | "withdrawn";
    /** Whether the request arrived at a target, which counts as an attempt. */
    readonly hasArrived: boolean;
    /** The response that says so, if the request has arrived. */
    readonly refusal?: TargetRefusal;
  }
  /** The target may have run the request. */
  | {
    readonly kind: "failed";
    readonly reason: FailureReason;
    /** The connection of a response that does not belong to the attempt. */
    readonly connection?: targetConnections.ConnectionUse | undefined;
  }
  /** The VM that the request was passed on to has refused it. */
  | { readonly kind: "refused_by_peer"; readonly refusal: refusals.Refusal };

/** What a target says of itself in a response, besides the response to the request. */
export interface TargetNotice {
  /** It is about to end and wants no further requests. */
  readonly isLeaving: boolean;
  /** Time for which it wants no request from this VM, as stated in a rejection. */
  readonly retryAfter: string | undefined;
  /** Requests per second that it accepts from all VMs together, as stated. */
  readonly rateLimit: string | undefined;
  /** Whether the target itself created the response, so that a missing rate means none. */
  readonly isSigned: boolean;
}

/** Options of one attempt. */
export interface CallOptions extends outgoingRequests.OutgoingRequestOptions {
  /** Connect timeout. */
  readonly connectTimeoutMilliseconds: number;
  /** Called with the time that a new connection took. */
  readonly recordConnectTime: (milliseconds: number) => void;
  /** Whether the target still accepts the request, asked once a new connection is open. */
  readonly isStillAccepted: () => boolean;
  /**
   * Whether a refusal of the same request has come from this address before. A further one may be its
   * copy, on whichever connection it comes.
   */
  readonly wasRefusedHere?: boolean;
  /** Called before the attempt ends with what the target says of itself. */
  readonly recordNotice: (notice: TargetNotice) => void;
  /** Called with the length that the head of a response states. */
  readonly recordLength?: (bytes: number) => void;
  /**
   * Whether so many bytes of a response may be buffered; otherwise the attempt ends with the rest of
   * it unread. By default up to 262,144.
   */
  readonly mayBuffer?: (bytes: number) => boolean;
  /** Ends the attempt. The reason of the signal is `silent` or `cancelled`. */
  readonly signal: AbortSignal;
}

/** Sends a request to a target and waits for its response. */
export function callTarget(options: CallOptions): Promise<CallResult> {
  return new Promise((resolve) => {
    const outgoing = outgoingRequests.createRequest(options);
    if (outgoing !== undefined) {
      new TargetCall(options, outgoing, resolve);
    } else {
      resolve(outgoingRequests.isAddressable(options.destination) ? WITHDRAWN : UNREACHABLE);
    }
  });
}

const UNREACHABLE: CallResult = { kind: "not_run", reason: "unreachable", hasArrived: false };
const WITHDRAWN: CallResult = { kind: "not_run", reason: "withdrawn", hasArrived: false };

/** Whether a result is a response that ends its request, whatever another attempt would bring. */
export function isConclusive(result: CallResult): boolean {
  return result.kind === "answered" && !isFailure(result.answer);
}

/**
 * Whether a response is an error of the target, or has a status that promises that the request has
 * not run, although the target has not said so.
 */
export function isFailure({ status }: Pick<TargetAnswer, "status">): boolean {
  return status >= 500 || refusals.isNotRunStatus(status);
}

/** Gives up the answer of an attempt that is not forwarded, if there is one. */
export function discardAnswer(result: CallResult | undefined): void {
  if (result?.kind === "answered") {
    result.answer.discard();
  }
}

class TargetCall {
  readonly #options: CallOptions;
  readonly #resolve: (result: CallResult) => void;
  readonly #outgoing: http.ClientRequest;
  #socket: net.Socket | undefined;
  #connection: targetConnections.ConnectionUse | undefined;
  #isConnected = false;
  #isSettled = false;
  #connectTimer: kernel.StoppableTimer | undefined;
  #transfer: bodies.BodyTransfer | undefined;
  #incoming: http.IncomingMessage | undefined;

  constructor(
    options: CallOptions,
    outgoing: http.ClientRequest,
    resolve: (result: CallResult) => void,
  ) {
    this.#options = options;
    this.#outgoing = outgoing;
    this.#resolve = resolve;
    this.#outgoing.once("socket", (socket) => {
      this.#socket = socket;
      this.#connection = options.connections.recordRequest(socket, options.request.id);
      if (!socket.connecting) {
        this.#isConnected = true;
        return;
      }
      socket.setNoDelay(true);
      const startedAt = kernel.getMonotonicMilliseconds();
      this.#connectTimer = kernel.startInputTimer(
        () => this.#fail("silent"),
        options.connectTimeoutMilliseconds,
      );
      // Runs before the request is written to the new connection.
      socket.once("connect", () => {
        options.recordConnectTime(kernel.getMonotonicMilliseconds() - startedAt);
        this.#connectTimer?.stop();
        if (options.isStillAccepted()) {
          this.#isConnected = true;
        } else {
          this.#settle({ kind: "not_run", reason: "withdrawn", hasArrived: false });
          this.#outgoing.destroy();
        }
      });
    });
    this.#outgoing.once("response", (incoming) => this.#handleResponse(incoming));
    // No request asks for another protocol.
    this.#outgoing.once("upgrade", (_incoming, socket) => {
      socket.destroy();
      this.#fail("spoilt");
    });
    this.#outgoing.on("error", (error: NodeJS.ErrnoException) => {
      if (this.#incoming?.complete === true && connectionEnds.isResetBehindEnd(error)) {
        return;
      }
      this.#fail(error.code?.startsWith("HPE_") === true ? "spoilt" : "reset");
      // The runtime would take a reset for the end of a response without a length.
      if (this.#incoming?.complete === false) {
        this.#incoming.destroy(error);
      }
    });
    options.signal.addEventListener("abort", this.#onAbort, { once: true });
    if (options.signal.aborted) {
      this.#onAbort();
      return;
    }
    this.#transfer = options.body.sendTo(this.#outgoing, () => this.#breakOff());
  }

  /** Ends the attempt because the request can never be complete. */
  #breakOff(): void {
    if (this.#incoming?.complete === true) {
      // The response to what was sent of it has arrived.
      return;
    }
    this.#fail("cancelled");
    this.#outgoing.destroy();
  }

  readonly #onAbort = (): void => {
    const mayRespond = this.#options.destination.kind === "target" && this.#isConnected &&
      this.#incoming === undefined && this.#isSent();
    this.#settleFailed(this.#options.signal.reason === "silent" ? "silent" : "cancelled");
    if (mayRespond) {
      this.#readLateResponse();
    } else {
      this.#outgoing.destroy();
    }
  };

  /**
   * Ends the own side of the connection, by which the target sees that the request is cancelled, as it
   * would by a close, and reads for a moment what it has sent before. Its response may state a pause,
   * a rate or that it leaves, which binds this VM although nobody waits for the response.
   */
  #readLateResponse(): void {
    const socket = kernel.getDefined(this.#socket, "A request is sent on a connection.");
    this.#options.connections.excludeFromReuse(socket);
    socket.end();
    const timer = setTimeout(() => this.#outgoing.destroy(), MAX_LATE_RESPONSE_MILLISECONDS);
    this.#outgoing.once("close", () => clearTimeout(timer));
  }

  #handleResponse(incoming: http.IncomingMessage): void {
    const { profile, request, destination } = this.#options;
    const status = incoming.statusCode ?? 0;
    this.#incoming = incoming;
    incoming.once("end", () => this.#closeUnlessSent());
    const isReadable = kernel.hasFieldNames(incoming.rawHeaders) &&
      !headers.hasTooManyFields(incoming, destination.kind === "peer");
    if (!kernel.isFinalStatus(status) || !isReadable) {
      this.#fail("spoilt");
      return;
    }
    const echoed = incoming.headers[profile.requestId.toLowerCase()];
    if (echoed !== undefined && echoed !== request.id) {
      // A late copy of the response to an earlier request; it says nothing about this one.
      this.#fail("foreign");
      return;
    }
    const refusal = incoming.headers[headers.REFUSAL_HEADER];
    const isSigned = incoming.headers[profile.signature] !== undefined;
    // A response that a target has created is none of the VM that forwards it.
    const isRefusedByPeer = destination.kind === "peer" && typeof refusal === "string" && !isSigned;
    const isRefused = incoming.headers[profile.notRun] !== undefined || status === 421;
    const connection = kernel.getDefined(this.#connection, "A response comes over a connection.");
    if (isRefused && status < MIN_ERROR_STATUS) {
      this.#fail("spoilt");
      return;
    }
    const isOwn = isOwnResponse(echoed, connection) && this.#options.wasRefusedHere !== true;
    if ((isRefusedByPeer || isRefused) && !isOwn) {
      this.#fail("unattributed");
      return;
    }
    if (isRefusedByPeer) {
      this.#discardBody(incoming);
      this.#settle({
        kind: "refused_by_peer",
        refusal: refusals.readRefusal(
          status,
          refusal,
          incoming.headers["retry-after"],
          incoming.headers[headers.RECEIVED_HEADER],
        ),
      });
      return;
    }
    if (isRefused) {
      if (status !== 421) {
        this.#recordNotice(incoming, status);
      }
      this.#discardBody(incoming);
      this.#settle({
        kind: "not_run",
        reason: status === 421 ? "other_target" : "shed",
        hasArrived: true,
        refusal: { status, isNamed: echoed !== undefined, connection },
      });
      return;
    }
    const isMismatched = echoed !== request.id || (status >= 200 && status < 300 && !isSigned);
    if (isMismatched) {
      this.#fail("spoilt");
      return;
    }
    this.#recordNotice(incoming, status);
    if (this.#isSettled) {
      this.#outgoing.destroy();
      return;
    }
    this.#readAnswer(incoming, status);
  }

  /** Reads the rest of a response that is of no use, and closes the connection if it is long. */
  #discardBody(incoming: http.IncomingMessage): void {
    if (incoming.readableEnded || incoming.destroyed) {
      return;
    }
    let bytes = 0;
    const timer = setTimeout(() => this.#outgoing.destroy(), MAX_DISCARD_MILLISECONDS);
    incoming.once("close", () => clearTimeout(timer));
    incoming.on("data", (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > MAX_DISCARDED_BYTES) {
        this.#outgoing.destroy();
      }
    });
    incoming.resume();
  }

  #recordNotice(incoming: http.IncomingMessage, status: number): void {
    const { profile, recordNotice } = this.#options;
    recordNotice({
      isLeaving: incoming.headers[profile.leaving] === "1",
      retryAfter: status === 503 ? incoming.headers["retry-after"] : undefined,
      rateLimit: incoming.headers[profile.rateLimit]?.toString(),
      isSigned: incoming.headers[profile.signature] !== undefined,
    });
  }

  #readAnswer(incoming: http.IncomingMessage, status: number): void {
    const chunks: Buffer[] = [];
    let bytes = 0;
    let isWhole = false;
    const length = Number(incoming.headers["content-length"] ?? Number.NaN);
    if (length >= 0 && this.#options.request.method !== "HEAD") {
      this.#options.recordLength?.(length);
    }
    const createAnswer = (rest: http.IncomingMessage | undefined): CallResult => ({
      kind: "answered",
      answer: {
        status,
        headers: headers.createAnswerHeaders(incoming),
        chunks,
        rest,
        isWhole: () => isWhole,
        discard: () => this.#discardBody(incoming),
      },
    });
    if (!isFramed(incoming, this.#options.request.method)) {
      const socket = kernel.getDefined(this.#socket, "An answer comes over a connection.");
      // The error event comes after the runtime has ended the response, which would look complete.
      connectionEnds.confirmEnd(socket, (error) => incoming.destroy(error));
    }
    const onData = (chunk: Buffer) => {
      chunks.push(chunk);
      bytes += chunk.length;
      if (!(this.#options.mayBuffer?.(bytes) ?? bytes <= MAX_BUFFERED_ANSWER_BYTES)) {
        incoming.pause();
        incoming.off("data", onData);
        incoming.off("end", onEnd);
        this.#settle(createAnswer(incoming));
      }
    };
    incoming.once("end", () => {
      isWhole = incoming.complete && kernel.hasFieldNames(incoming.rawTrailers);
    });
    const onEnd = () => {
      if (!isWhole) {
        this.#fail(incoming.complete ? "spoilt" : "cut_short");
        return;
      }
      this.#keepConnection(incoming);
      this.#settle(createAnswer(undefined));
    };
    incoming.on("data", onData);
    incoming.once("end", onEnd);
    incoming.once("error", () => this.#fail("cut_short"));
    incoming.once("aborted", () => this.#fail("cut_short"));
  }

  /** Keeps the connection for another request, unless this one was not written completely. */
  #keepConnection(incoming: http.IncomingMessage): void {
    if (this.#isSent()) {
      const socket = kernel.getDefined(this.#socket, "An answer comes over a connection.");
      const keepAlive = incoming.headers["keep-alive"];
      this.#options.connections.recordIdleTimeout(socket, keepAlive?.toString());
    }
  }

  /**
   * Closes the connection after a response to a request that was not written completely: what
   * follows on it would be read as the rest of that request.
   */
  #closeUnlessSent(): void {
    if (this.#isSent()) {
      return;
    }
    if (this.#socket !== undefined) {
      this.#options.connections.excludeFromReuse(this.#socket);
    }
    this.#transfer?.stop();
    if (this.#transfer?.isComplete !== true) {
      this.#outgoing.destroy();
      return;
    }
    // The target may still read the end of the request, which is on its way.
    const timer = setTimeout(() => this.#outgoing.destroy(), MAX_DISCARD_MILLISECONDS);
    this.#outgoing.once("close", () => clearTimeout(timer));
  }

  /** Whether the complete request was written to the connection. */
  #isSent(): boolean {
    return this.#transfer?.isComplete === true && this.#outgoing.writableFinished;
  }

  #fail(reason: FailureReason): void {
    if (!this.#isSettled) {
      this.#settleFailed(reason);
      this.#outgoing.destroy();
    }
  }

  #settleFailed(reason: FailureReason): void {
    const isConnected = this.#isConnected;
    if (!isConnected && reason !== "cancelled") {
      this.#settle(UNREACHABLE);
    } else {
      this.#settle({
        kind: "failed",
        reason,
        ...(reason === "foreign" || reason === "unattributed"
          ? { connection: this.#connection }
          : {}),
      });
    }
  }

  #settle(result: CallResult): void {
    if (this.#isSettled) {
      return;
    }
    this.#isSettled = true;
    this.#connectTimer?.stop();
    this.#options.signal.removeEventListener("abort", this.#onAbort);
    this.#resolve(result);
  }
}

/**
 * Whether a response belongs to the present attempt, if it names no other request. A surplus response
 * to an earlier one may arrive in its place, so it must name a request that the connection has
 * carried only now, unless the connection has carried no other.
 */
function isOwnResponse(
  echoed: string | string[] | undefined,
  connection: targetConnections.ConnectionUse,
): boolean {
  return echoed === undefined ? connection.earlierRequests === 0 : !connection.isRepetition;
}

/** Whether a response may have a body (RFC 9112, section 6.3). */
export function hasBody(method: string | undefined, status: number | undefined): boolean {
  return method !== "HEAD" && status !== 204 && status !== 304;
}

/** Whether the end of a response is known before that of its connection (RFC 9112, section 6.3). */
function isFramed(incoming: http.IncomingMessage, method: string): boolean {
  if (!hasBody(method, incoming.statusCode)) {
    return true;
  }
  const coding = incoming.headers["transfer-encoding"];
  return coding === undefined
    ? incoming.headers["content-length"] !== undefined
    : /(^|,)\s*chunked\s*$/i.test(coding);
}
