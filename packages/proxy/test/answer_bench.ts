/**
 * Callers' connections with a listener and a target on loopback, for tests of what a caller receives.
 * Between them are the real parts: the HTTP server, the connection and its binding, the final
 * response and the call to the target. Each request is sent to the target once, without admission or
 * placement.
 */

import * as assert from "node:assert/strict";
import * as http from "node:http";
import * as net from "node:net";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as proxy from "@hemlockwalk/proxy";
import * as bodies from "../src/body.ts";
import * as answers from "../src/final_answer.ts";
import * as bindings from "../src/http_connection.ts";
import type * as contexts from "../src/request_context.ts";
import type * as handlers from "../src/request_handler.ts";
import * as calls from "../src/target_call.ts";
import * as targetConnections from "../src/target_connections.ts";
import * as benches from "./call_bench.ts";
import * as harness from "./harness.ts";

const { PROFILE } = harness;

const MAX_BODY_BYTES = 100_000;

const CHUNK_BYTES = 50_000;

/** Bytes that a target sends at once. */
const PART_BYTES = 100_000;

/** Time behind the last part of a response after which it is broken off, so that it is read before. */
const BREAK_MILLISECONDS = 10;

/** Time for the response to a request whose target sends all of it. */
const LONG_MILLISECONDS = 5_000;

/** Time for the response to a request whose target stops without a sign. */
const STALL_MILLISECONDS = 150;

/** How a target responds to a request. */
export interface AnswerPlan {
  readonly bytes: number;
  readonly framing: "length" | "chunks" | "none";
  readonly ending: "whole" | "reset" | "end" | "stall";
  /** Share of the bytes, head included, that is sent if it does not send all. */
  readonly sentShare: number;
  readonly delayMilliseconds: number;
  /** Time between the parts that are sent of it. */
  readonly pauseMilliseconds: number;
  readonly mayRunAhead: boolean;
}

/** The body of a target's response, every part of which names its request. */
export function createBody(id: string, bytes: number): string {
  return `${id}/`.repeat(Math.ceil(bytes / (id.length + 1))).slice(0, bytes);
}

function encodeAnswer(id: string, { bytes, framing }: AnswerPlan): string {
  const body = createBody(id, bytes);
  const head = `HTTP/1.1 200 OK\r\n${PROFILE.requestId}: ${id}\r\n${PROFILE.signature}: signed\r\n`;
  if (framing === "none") {
    return `${head}\r\n${body}`;
  }
  if (framing === "length") {
    return `${head}Content-Length: ${bytes}\r\n\r\n${body}`;
  }
  let chunks = "";
  for (let start = 0; start < bytes; start += CHUNK_BYTES) {
    const chunk = body.slice(start, start + CHUNK_BYTES);
    chunks += `${chunk.length.toString(16)}\r\n${chunk}\r\n`;
  }
  return `${head}Transfer-Encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`;
}

const CONTEXT = {
  profile: PROFILE,
  counters: { requests: { inc: () => undefined }, served: { inc: () => undefined } },
  latency: { record: () => undefined },
  log: { write: () => undefined },
} as unknown as contexts.RequestContext;

/** Sends one request to the target and its response to the caller. */
class Handler implements
  Pick<
    handlers.RequestHandler,
    | "id"
    | "isPassedOn"
    | "mayRunAhead"
    | "isResponseShort"
    | "run"
    | "runAhead"
    | "takeTurn"
    | "onInvalidRequest"
    | "onCallerClosed"
  > {
  readonly id: string;
  isPassedOn = false;
  /** Wrongly for many of them, so that requests run ahead behind long responses too. */
  readonly isResponseShort = true;
  readonly #bench: AnswerBench;
  readonly #request: http.IncomingMessage;
  readonly #connection: proxy.CallerConnection;
  readonly #finalAnswer: answers.FinalAnswer;
  readonly #attempt = new AbortController();
  readonly #plan: AnswerPlan;

  constructor(
    bench: AnswerBench,
    request: http.IncomingMessage,
    response: http.ServerResponse,
    connection: proxy.CallerConnection,
  ) {
    this.#bench = bench;
    this.#request = request;
    this.#connection = connection;
    this.id = String(request.headers[PROFILE.requestId]);
    this.#plan = bench.getPlan(this.id);
    const trace = new proxy.RequestTrace(this.id);
    this.#finalAnswer = new answers.FinalAnswer(CONTEXT, response, trace, connection, false);
  }

  get mayRunAhead(): boolean {
    return this.#plan.mayRunAhead && this.#request.httpVersion === "1.1";
  }

  async runAhead(reservation: proxy.AheadReservation): Promise<void> {
    this.#finalAnswer.holdBack(reservation);
    await this.run();
  }

  async run(): Promise<void> {
    const read = await bodies.readBody(this.#request, MAX_BODY_BYTES);
    if (read.kind !== "read") {
      return;
    }
    this.isPassedOn = true;
    this.#bench.passedOn.add(this.id);
    const milliseconds = this.#plan.ending === "stall" ? STALL_MILLISECONDS : LONG_MILLISECONDS;
    const endsAt = kernel.getMonotonicMilliseconds() + milliseconds;
    const timer = setTimeout(() => this.#attempt.abort("silent"), milliseconds);
    const request = benches.createRequest("GET", undefined);
    const result = await calls.callTarget({
      request: { ...request, id: this.id, headers: [PROFILE.requestId, this.id], endsAt },
      destination: {
        kind: "target",
        address: this.#bench.targetAddress,
        id: model.createTargetId("target"),
      },
      body: read.body,
      profile: PROFILE,
      connections: this.#bench.targetConnections,
      connectTimeoutMilliseconds: 1_000,
      recordConnectTime: () => undefined,
      isStillAccepted: () => true,
      recordNotice: () => undefined,
      mayBuffer: (bytes) => this.#mayBuffer(bytes),
      signal: this.#attempt.signal,
    });
    clearTimeout(timer);
    if (this.#attempt.signal.reason === "cancelled") {
      calls.discardAnswer(result);
    } else if (result.kind === "answered") {
      this.#finalAnswer.forward(result.answer, endsAt, (bytes) => this.#mayBuffer(bytes));
    } else {
      this.#finalAnswer.refuse({ status: 502, reason: "target_failed" });
    }
  }

  #mayBuffer(bytes: number): boolean {
    return !this.#finalAnswer.hasTurn
      ? bytes <= proxy.MAX_AHEAD_RESPONSE_BYTES
      : bytes <= calls.MAX_BUFFERED_ANSWER_BYTES || this.#connection.mayBufferLong(bytes);
  }

  takeTurn(): void {
    this.#finalAnswer.takeTurn();
  }

  onInvalidRequest(): void {
    this.#finalAnswer.refuse({ status: 400, reason: "invalid_request" });
    this.#attempt.abort("cancelled");
  }

  onCallerClosed(): void {
    this.#finalAnswer.drop();
    if (!this.#finalAnswer.isDecided) {
      this.#attempt.abort("cancelled");
    }
  }
}

/** The listener and the target. */
export class AnswerBench {
  readonly host = "127.0.0.1";
  readonly targetConnections = new targetConnections.TargetConnections();
  /** Identifiers of the requests that have been sent to the target. */
  readonly passedOn = new Set<string>();
  /** Identifiers of the requests that have been read. */
  readonly read = new Set<string>();
  /** How callers' connections have ended. */
  readonly ends: proxy.ConnectionEnd[] = [];
  readonly #plans: ReadonlyMap<string, AnswerPlan>;
  readonly #target = new benches.ByteTarget();
  readonly #server = http.createServer({ requireHostHeader: false, noDelay: true });
  readonly #connections = new Map<net.Socket, proxy.CallerConnection>();
  readonly #budget = new proxy.AheadBudget({ inc: () => undefined });
  readonly #stop = { isStopping: false, isClosing: false, cutOffAt: Number.POSITIVE_INFINITY };

  /** @param plans How the target responds, by identifier of the request. */
  constructor(plans: ReadonlyMap<string, AnswerPlan>) {
    this.#plans = plans;
    this.#target.onData = (arrival) => this.#respond(arrival);
    this.#server.on("connection", (socket) => this.#track(socket));
    this.#server.on("request", (request, response) => this.#handle(request, response));
    this.#server.on("clientError", (error, socket) => {
      bindings.handleClientError(error, socket, this.#connections.get(socket as net.Socket));
    });
  }

  get port(): number {
    const address = this.#server.address();
    return typeof address === "object" && address !== null ? address.port : assert.fail();
  }

  get targetAddress(): string {
    return this.#target.address;
  }

  getPlan(id: string): AnswerPlan {
    return this.#plans.get(id) ?? assert.fail(`a request that nobody sent: ${id}`);
  }

  async start(): Promise<void> {
    await this.#target.start();
    await new Promise<void>((resolve) => this.#server.listen(0, this.host, resolve));
  }

  /** The VM has received SIGTERM. */
  beginStop(): void {
    this.#stop.isStopping = true;
  }

  /** The VM accepts no further connections. */
  closeListener(): void {
    this.beginStop();
    this.#stop.isClosing = true;
    this.#connections.forEach((connection) => connection.endIfIdle());
  }

  /**
   * Closes all connections of callers at once, whatever they are used for: what the VM does at the
   * end of the grace period, and the system after a kill.
   */
  cutOff(): void {
    [...this.#connections.keys()].forEach((socket) => socket.destroy());
  }

  async end(): Promise<void> {
    this.#server.close();
    this.cutOff();
    await harness.waitFor(() => this.#connections.size === 0, "all connections are closed");
    this.targetConnections.destroy();
    this.#target.stop();
  }

  #track(socket: net.Socket): void {
    const transport = new bindings.SocketTransport(socket);
    const record = { write: (end: proxy.ConnectionEnd) => this.ends.push(end) };
    const connection = new proxy.CallerConnection(transport, record, this.#stop, this.#budget);
    this.#connections.set(socket, connection);
    transport.onServerEnd(() => connection.requireEnd());
    socket.once("close", () => {
      this.#connections.delete(socket);
      connection.onClosed();
    });
  }

  #handle(request: http.IncomingMessage, response: http.ServerResponse): void {
    const connection = this.#connections.get(request.socket) ?? assert.fail("not tracked");
    const handler = new Handler(this, request, response, connection);
    assert.ok(!this.read.has(handler.id), "a request is handled twice");
    this.read.add(handler.id);
    const exchange = new bindings.HttpExchange(
      request,
      handler as unknown as handlers.RequestHandler,
      (run) => void run(),
    );
    response.once("finish", () => {
      if (!request.socket.destroyed) {
        connection.onResponseSent();
      }
    });
    request.once("end", () => connection.onRequestRead(exchange));
    connection.add(exchange);
  }

  #respond(arrival: benches.Arrival): void {
    if (!arrival.text.endsWith("\r\n\r\n")) {
      return;
    }
    const id = new RegExp(`^${PROFILE.requestId}: (.*)$`, "im").exec(arrival.text)?.[1]?.trim();
    arrival.text = "";
    const plan = this.getPlan(id ?? "");
    setTimeout(() => void sendAnswer(arrival.socket, id ?? "", plan), plan.delayMilliseconds);
  }
}

async function sendAnswer(socket: net.Socket, id: string, plan: AnswerPlan): Promise<void> {
  const answer = encodeAnswer(id, plan);
  const isWhole = plan.ending === "whole";
  const bytes = isWhole ? answer.length : Math.floor(plan.sentShare * (answer.length - 1));
  for (let start = 0; start < bytes && !socket.destroyed; start += PART_BYTES) {
    socket.write(answer.slice(start, Math.min(bytes, start + PART_BYTES)), "latin1");
    if (plan.pauseMilliseconds > 0 && start + PART_BYTES < bytes) {
      await kernel.sleep(plan.pauseMilliseconds);
    }
  }
  if (isWhole) {
    if (plan.framing === "none") {
      socket.end();
    }
    return;
  }
  await kernel.sleep(BREAK_MILLISECONDS);
  if (plan.ending === "end") {
    socket.end();
  } else if (plan.ending === "reset") {
    socket.resetAndDestroy();
  }
}
