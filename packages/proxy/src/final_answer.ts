/**
 * Sends the final response of a request: a target's response, forwarded, or one of the proxy
 * itself.
 *
 * Each response has a length or chunks, whatever delimits the target's. The end of a connection
 * delimits none, since it also comes where a response was cut: the system ends the connections of a
 * killed process in order, and a reset may be lost.
 */

import type * as http from "node:http";
import * as kernel from "@hemlockwalk/kernel";
import type * as budgets from "./ahead_budget.ts";
import type * as connections from "./caller_connection.ts";
import * as headers from "./headers.ts";
import type * as refusals from "./refusals.ts";
import type * as contexts from "./request_context.ts";
import type * as log from "./request_log.ts";
import * as calls from "./target_call.ts";

/** A response that waits for the turn of its request. */
interface HeldAnswer {
  readonly heldAt: number;
  /** @param milliseconds Time for which it has waited. */
  send(milliseconds: number): void;
  drop(): void;
}

/**
 * Sends the final response of a request, once.
 *
 * If the request runs ahead of its turn, nothing of its response is written before its turn. So the
 * response's head says what holds then: whether the connection ends, and when to return.
 */
export class FinalAnswer {
  readonly #context: contexts.RequestContext;
  readonly #response: http.ServerResponse;
  readonly #trace: log.RequestTrace;
  readonly #connection: connections.CallerConnection;
  readonly #isForwarded: boolean;
  #isDecided = false;
  #hasTurn = true;
  #isDropped = false;
  #held: HeldAnswer | undefined;
  /** Gives up a long response that is read at its turn, before it has begun. */
  #stopBuffering: (() => void) | undefined;
  #isCutOff = false;
  /** The memory for the response of a request that was started ahead. */
  #reservation: budgets.AheadReservation | undefined;

  /** @param isForwarded Whether another VM has passed the request on, which counts it. */
  constructor(
    context: contexts.RequestContext,
    response: http.ServerResponse,
    trace: log.RequestTrace,
    connection: connections.CallerConnection,
    isForwarded: boolean,
  ) {
    this.#context = context;
    this.#response = response;
    this.#trace = trace;
    this.#connection = connection;
    this.#isForwarded = isForwarded;
  }

  /** Whether the response is decided; it may wait for its turn. */
  get isDecided(): boolean {
    return this.#isDecided;
  }

  /** Whether the response is sent once it is decided. */
  get hasTurn(): boolean {
    return this.#hasTurn;
  }

  /** Holds the response back until `takeTurn` is called. */
  holdBack(reservation: budgets.AheadReservation): void {
    this.#hasTurn = false;
    this.#reservation = reservation;
  }

  /** Sends the response if it was held back, and does not hold it back from now on. */
  takeTurn(): void {
    this.#hasTurn = true;
    const held = this.#held;
    this.#held = undefined;
    if (held !== undefined) {
      const milliseconds = kernel.getMonotonicMilliseconds() - held.heldAt;
      this.#trace.add("waited_for_turn", { milliseconds: Math.round(milliseconds) });
      held.send(milliseconds);
    }
  }

  /** Drops the response of a request that ran ahead and whose turn will never come. */
  drop(): void {
    if (this.#hasTurn || this.#isDropped) {
      return;
    }
    this.#isDropped = true;
    this.#dropHeld();
  }

  #dropHeld(): void {
    const held = this.#held;
    this.#held = undefined;
    if (held !== undefined) {
      held.drop();
      this.finish("caller_left", 0);
    }
  }

  #hold(held: Pick<HeldAnswer, "send" | "drop">): void {
    this.#held = { ...held, heldAt: kernel.getMonotonicMilliseconds() };
    if (this.#isDropped) {
      this.#dropHeld();
    }
  }

  /**
   * Forwards a target's response; the rest of a long one is streamed.
   *
   * @param endsAt Monotonic time at which the caller's connection is closed if the response has not
   *   ended, in milliseconds.
   * @param mayBuffer Whether so many bytes of it may be buffered before it begins.
   */
  forward(
    answer: calls.TargetAnswer,
    endsAt: number,
    mayBuffer: (bytes: number) => boolean,
  ): void {
    this.#isDecided = true;
    if (answer.rest?.destroyed === true) {
      // It broke off while another attempt was looked for, and would end neither now nor later.
      this.#refuseUnsent(endsAt);
    } else if (this.#hasTurn) {
      this.#send(answer, endsAt);
    } else if (answer.rest === undefined) {
      this.#reservation?.shrinkTo(answer.chunks.reduce((sum, chunk) => sum + chunk.length, 0));
      this.#hold({ send: () => this.#send(answer, endsAt), drop: () => answer.discard() });
    } else {
      this.#holdLong(answer, answer.rest, endsAt, mayBuffer);
    }
  }

  /** Leaves the rest of a long response unread until its turn, at most as long as its caller waits. */
  #holdLong(
    answer: calls.TargetAnswer,
    rest: http.IncomingMessage,
    endsAt: number,
    mayBuffer: (bytes: number) => boolean,
  ): void {
    const timer = endReadingAt(rest, endsAt);
    const send = () => {
      clearTimeout(timer);
      if (rest.destroyed) {
        this.#refuseUnsent(endsAt);
      } else if (this.#isCutOff && this.#connection.hasRunningBehind) {
        answer.discard();
        this.#isDecided = false;
        this.refuse({ status: 504, reason: "stopping" });
      } else if (this.#connection.hasRunningBehind) {
        this.#bufferRest(answer, rest, endsAt, mayBuffer);
      } else {
        this.#send(answer, endsAt);
      }
    };
    const drop = () => {
      clearTimeout(timer);
      answer.discard();
    };
    this.#hold({ send, drop });
  }

  /** Reads the rest of a long response at its turn, since requests run ahead behind it. */
  #bufferRest(
    answer: calls.TargetAnswer,
    rest: http.IncomingMessage,
    endsAt: number,
    mayBuffer: (bytes: number) => boolean,
  ): void {
    const timer = endReadingAt(rest, endsAt);
    let bytes = answer.chunks.reduce((sum, chunk) => sum + chunk.length, 0);
    const onData = (chunk: Buffer) => {
      answer.chunks.push(chunk);
      bytes += chunk.length;
      if (!mayBuffer(bytes)) {
        rest.pause();
        stop();
        this.#send(answer, endsAt);
      }
    };
    const onRestClosed = () => {
      stop();
      if (answer.isWhole()) {
        this.#send({ ...answer, rest: undefined }, endsAt);
      } else {
        this.#refuseUnsent(endsAt);
      }
    };
    const onCallerClosed = () => {
      stop();
      answer.discard();
      this.finish("caller_left", 0);
    };
    const stop = () => {
      this.#stopBuffering = undefined;
      clearTimeout(timer);
      rest.off("data", onData);
      rest.off("close", onRestClosed);
      this.#response.off("close", onCallerClosed);
    };
    this.#stopBuffering = () => {
      stop();
      answer.discard();
    };
    rest.on("data", onData);
    rest.once("close", onRestClosed);
    this.#response.once("close", onCallerClosed);
    rest.resume();
  }

  /** Replaces a long response of which nothing was sent, so that the connection can be kept. */
  #refuseUnsent(endsAt: number): void {
    this.#isDecided = false;
    const isLate = kernel.getMonotonicMilliseconds() >= endsAt;
    this.refuse(
      isLate ? { status: 504, reason: "timeout" } : { status: 502, reason: "target_failed" },
    );
  }

  #send(answer: calls.TargetAnswer, endsAt: number): void {
    const { rest } = answer;
    const framing = this.#createFramingHeaders(answer);
    if (framing === undefined) {
      answer.discard();
      this.#isDecided = false;
      this.refuse({ status: 502, reason: "length_unknown" });
      return;
    }
    const head = [...answer.headers, ...framing, ...this.#createConnectionHeader()];
    this.#response.writeHead(answer.status, head);
    // A caller that reads slowly would keep them in memory until the end of a long response.
    for (const chunk of answer.chunks.splice(0)) {
      this.#response.write(chunk);
    }
    if (rest === undefined) {
      this.#response.end();
      this.finish("answered", answer.status);
      return;
    }
    // The end in chunks is written only after a complete response.
    rest.pipe(this.#response, { end: false });
    rest.once("end", () => {
      if (answer.isWhole()) {
        this.#response.end();
      }
    });
    const timer = endReadingAt(rest, endsAt);
    // A target that sends without end is not read for longer than its caller waits.
    this.#response.once("close", () => {
      clearTimeout(timer);
      if (!answer.isWhole()) {
        rest.destroy();
      }
    });
    // A truncated response lacks its end, so the caller's connection is closed behind it.
    rest.once("close", () => {
      if (!answer.isWhole()) {
        this.#connection.breakOff();
      }
      this.finish(answer.isWhole() ? "answered" : "target_failed", answer.status);
    });
  }

  /** Sends a response of the proxy itself. */
  refuse(refusal: refusals.Refusal): void {
    if (this.#isDecided) {
      return;
    }
    this.#isDecided = true;
    if (this.#hasTurn) {
      this.#sendRefusal(refusal, 0);
    } else {
      // A refusal is a few bytes.
      this.#reservation?.shrinkTo(0);
      this.#hold({
        send: (milliseconds) => this.#sendRefusal(refusal, milliseconds),
        drop: () => undefined,
      });
    }
  }

  /** @param heldMilliseconds Time for which it has waited, which the caller need not wait again. */
  #sendRefusal(refusal: refusals.Refusal, heldMilliseconds: number): void {
    const head: string[] = ["Content-Type", "application/problem+json"];
    if (this.#trace.id !== "") {
      head.push(this.#context.profile.requestId, this.#trace.id);
    }
    if (this.#isForwarded) {
      head.push(headers.REFUSAL_HEADER, refusal.reason);
      if (refusal.received !== undefined) {
        head.push(headers.RECEIVED_HEADER, String(refusal.received));
      }
    }
    if (refusal.retryAfterSeconds !== undefined) {
      const seconds = Math.max(0, refusal.retryAfterSeconds - heldMilliseconds / 1_000);
      head.push("Retry-After", String(Math.round(seconds * 1_000) / 1_000));
    }
    const body = JSON.stringify({ title: refusal.reason, status: refusal.status });
    head.push("Content-Length", String(body.length), ...this.#createConnectionHeader());
    this.#response.writeHead(refusal.status, head);
    this.#response.end(body);
    this.finish(refusal.reason, refusal.status);
  }

  /**
   * Sends a response of the proxy itself in place of one that is not decided or has not arrived whole,
   * since the process is about to end and other responses may wait behind it.
   */
  cutOff(refusal: refusals.Refusal): void {
    this.#isCutOff = true;
    if (this.#stopBuffering !== undefined) {
      this.#stopBuffering();
      this.#isDecided = false;
    }
    this.refuse(refusal);
  }

  /** Ends a request whose handling has failed unexpectedly; it may have run. */
  fail(): void {
    if (!this.#response.headersSent) {
      this.#held?.drop();
      this.#isDecided = false;
      this.refuse({ status: 500, reason: "internal_error" });
      return;
    }
    this.#connection.breakOff();
    this.finish("internal_error", this.#response.statusCode);
  }

  #createConnectionHeader(): string[] {
    return this.#connection.decideEnd() ? ["Connection", "close"] : [];
  }

  /**
   * The headers that delimit a response, besides those of the target, as names and values in turn.
   * Undefined for a response of unknown length to a caller of HTTP/1.0, who does not know chunks.
   */
  #createFramingHeaders({ status, headers: fields, chunks, rest }: calls.TargetAnswer):
    | readonly string[]
    | undefined {
    const { method, httpVersion } = this.#response.req;
    const hasLength = fields.some((name, index) =>
      index % 2 === 0 && name.toLowerCase() === "content-length"
    );
    if (hasLength || !calls.hasBody(method, status)) {
      return [];
    }
    if (rest === undefined) {
      const bytes = chunks.reduce((sum, chunk) => sum + chunk.length, 0);
      return ["Content-Length", String(bytes)];
    }
    return httpVersion === "1.0" ? undefined : ["Transfer-Encoding", "chunked"];
  }

  /** Counts and logs the end of the request, with or without a response. */
  finish(outcome: string, status: number): void {
    this.#isDecided = true;
    if (this.#isForwarded) {
      this.#context.counters.served.inc({ outcome });
    } else {
      this.#context.counters.requests.inc({ outcome });
      this.#context.latency.record(kernel.getMonotonicMilliseconds() - this.#trace.arrivedAt);
    }
    this.#context.log.write(this.#trace, outcome, status);
  }
}

/** Starts a timer that ends the reading of a response at a monotonic time in milliseconds. */
function endReadingAt(rest: http.IncomingMessage, endsAt: number): NodeJS.Timeout {
  const milliseconds = Math.max(0, endsAt - kernel.getMonotonicMilliseconds());
  return setTimeout(() => rest.destroy(), milliseconds);
}
