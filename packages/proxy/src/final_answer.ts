/**
 * The one final answer of a request: a target's, passed on, or the proxy's own.
 */

import type * as http from "node:http";
import * as kernel from "@hemlockwalk/kernel";
import type * as refusals from "./refusals.ts";
import type * as contexts from "./request_context.ts";
import type * as log from "./request_log.ts";
import type * as calls from "./target_call.ts";

/** Gives a request its final answer, once. */
export class FinalAnswer {
  readonly #context: contexts.RequestContext;
  readonly #response: http.ServerResponse;
  readonly #story: log.RequestStory;
  #isGiven = false;

  constructor(
    context: contexts.RequestContext,
    response: http.ServerResponse,
    story: log.RequestStory,
  ) {
    this.#context = context;
    this.#response = response;
    this.#story = story;
  }

  get isGiven(): boolean {
    return this.#isGiven;
  }

  /** Passes a target's answer on, while the rest of a long one still comes. */
  passOn(answer: calls.TargetAnswer): void {
    const { rest } = answer;
    this.#isGiven = true;
    const isClosing = !answer.isFramed || this.#context.isStopping();
    const head = [...answer.headers, ...(isClosing ? ["Connection", "close"] : [])];
    if (!answer.isFramed) {
      // Whether such an answer is whole is not known, so it is not framed as if it were.
      this.#response.useChunkedEncodingByDefault = false;
    }
    this.#response.writeHead(answer.status, head);
    for (const chunk of answer.chunks) {
      this.#response.write(chunk);
    }
    if (rest === undefined) {
      this.#response.end();
      this.finish("answered", answer.status);
      return;
    }
    rest.pipe(this.#response);
    // An answer that ends early must not look complete, so the caller's connection is cut with it.
    rest.once("close", () => {
      if (!rest.complete) {
        this.#response.destroy();
      }
      this.finish(rest.complete ? "answered" : "target_failed", answer.status);
    });
  }

  /** Answers in the proxy's own name. */
  refuse(refusal: refusals.Refusal): void {
    if (this.#isGiven) {
      return;
    }
    this.#isGiven = true;
    const head: string[] = ["Content-Type", "application/problem+json"];
    if (this.#story.id !== "") {
      head.push(this.#context.profile.requestId, this.#story.id);
    }
    if (refusal.retryAfterSeconds !== undefined) {
      head.push("Retry-After", String(refusal.retryAfterSeconds));
    }
    const body = JSON.stringify({ title: refusal.reason, status: refusal.status });
    head.push("Content-Length", String(body.length), ...this.#createConnectionHeader());
    this.#response.writeHead(refusal.status, head);
    this.#response.end(body);
    this.finish(refusal.reason, refusal.status);
  }

  #createConnectionHeader(): string[] {
    return this.#context.isStopping() ? ["Connection", "close"] : [];
  }

  /** Counts and logs the end of the request, with or without an answer. */
  finish(outcome: string, status: number): void {
    this.#isGiven = true;
    this.#context.counters.requests.inc({ outcome });
    this.#context.latency.record(kernel.getMonotonicMilliseconds() - this.#story.arrivedAt);
    this.#context.log.write(this.#story, outcome, status);
  }
}
