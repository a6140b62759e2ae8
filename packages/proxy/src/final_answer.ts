/**
 * Sends the final response of a request: a target's response, forwarded, or one of the proxy
 * itself.
 */

import type * as http from "node:http";
import * as kernel from "@hemlockwalk/kernel";
import type * as connections from "./caller_connection.ts";
import * as headers from "./headers.ts";
import type * as refusals from "./refusals.ts";
import type * as contexts from "./request_context.ts";
import type * as log from "./request_log.ts";
import type * as calls from "./target_call.ts";

/** Sends the final response of a request, once. */
export class FinalAnswer {
  readonly #context: contexts.RequestContext;
  readonly #response: http.ServerResponse;
  readonly #trace: log.RequestTrace;
  readonly #connection: connections.CallerConnection;
  readonly #isForwarded: boolean;
  #isDecided = false;
  #delimiting: connections.Delimiting = "framed";

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

  get isDecided(): boolean {
    return this.#isDecided;
  }

  /**
   * Forwards a target's response; the rest of a long one is streamed.
   *
   * @param endsAt Monotonic time at which the caller's connection is closed if the response has not
   *   ended, in milliseconds.
   */
  forward(answer: calls.TargetAnswer, endsAt: number): void {
    const { rest } = answer;
    this.#isDecided = true;
    this.#delimiting = this.#getDelimiting(answer);
    const endsConnection = this.#delimiting === "by_end";
    const head = [...answer.headers, ...this.#createConnectionHeader(endsConnection)];
    if (!answer.isFramed) {
      // The proxy cannot know whether a response without framing is complete, so it does not frame
      // it either.
      this.#response.useChunkedEncodingByDefault = false;
    }
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
    rest.pipe(this.#response);
    const timer = setTimeout(
      () => rest.destroy(),
      Math.max(0, endsAt - kernel.getMonotonicMilliseconds()),
    );
    // A target that sends without end is not read for longer than its caller waits.
    this.#response.once("close", () => {
      clearTimeout(timer);
      if (!answer.isWhole()) {
        rest.destroy();
      }
    });
    // A truncated response must not look complete, so the caller's connection is closed with it.
    rest.once("close", () => {
      if (!answer.isWhole()) {
        this.#breakOff();
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
    const head: string[] = ["Content-Type", "application/problem+json"];
    if (this.#trace.id !== "") {
      head.push(this.#context.profile.requestId, this.#trace.id);
    }
    if (this.#isForwarded) {
      head.push(headers.REFUSAL_HEADER, refusal.reason);
    }
    if (refusal.retryAfterSeconds !== undefined) {
      head.push("Retry-After", String(refusal.retryAfterSeconds));
    }
    const body = JSON.stringify({ title: refusal.reason, status: refusal.status });
    head.push("Content-Length", String(body.length), ...this.#createConnectionHeader(false));
    this.#response.writeHead(refusal.status, head);
    this.#response.end(body);
    this.finish(refusal.reason, refusal.status);
  }

  /** Ends a request whose handling has failed unexpectedly; it may have run. */
  fail(): void {
    if (!this.#response.headersSent) {
      this.#isDecided = false;
      this.refuse({ status: 500, reason: "internal_error" });
      return;
    }
    this.#breakOff();
    this.finish("internal_error", this.#response.statusCode);
  }

  #createConnectionHeader(endsConnection: boolean): string[] {
    return this.#connection.decideEnd(endsConnection) ? ["Connection", "close"] : [];
  }

  /** A caller of HTTP/1.0 does not understand chunks. */
  #getDelimiting(answer: calls.TargetAnswer): connections.Delimiting {
    const isChunked = !answer.headers.some((name, index) =>
      index % 2 === 0 && name.toLowerCase() === "content-length"
    );
    const isByEnd = !answer.isFramed || (isChunked && this.#response.req.httpVersion === "1.0");
    return isByEnd ? "by_end" : "framed";
  }

  /** Ends a response that has begun and cannot be completed. */
  #breakOff(): void {
    this.#connection.breakOff(this.#delimiting);
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
