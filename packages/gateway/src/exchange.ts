/**
 * One attempt: a request on one connection to one target, and what became of it.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as undici from "undici";
import * as bodies from "./bodies.ts";
import type * as answers from "./answers.ts";
import type * as running from "./running_requests.ts";

/** Most of an answer that is read only to keep its connection. */
const MAXIMUM_DISCARDED_BYTES = 64 * 1_024;

/** Codes by which the HTTP client tells that it will not send such a request. */
const INVALID_REQUEST_CODES: ReadonlySet<string> = new Set([
  "UND_ERR_INVALID_ARG",
  "UND_ERR_NOT_SUPPORTED",
  "UND_ERR_REQ_CONTENT_LENGTH_MISMATCH",
]);

/** How one attempt ended. */
export type AttemptEnd =
  /** The answer of the target went to the caller, complete. */
  | "answered"
  /** The target said by its service's signal that it did not run the request. */
  | "not_run_signal"
  /** The target answered with an error that was not passed on, since another attempt may follow. */
  | "server_error"
  /** The answer would end with its connection, so that a cut one could not be told. */
  | "unframed"
  /** No connection could be opened, or it was found closed before the first byte. */
  | "connect_failed"
  /** The connection ended before an answer began. */
  | "reset"
  /** The connection ended after an answer began. */
  | "truncated"
  /** No answer began within the attempt's time. */
  | "attempt_timeout"
  /** The request was ended from outside; its end reason says why. */
  | "ended"
  /** The HTTP client found the request malformed before it sent anything. */
  | "invalid"
  /** The caller's body stopped, was too large or was cut. */
  | "body_failed";

/** What is to be done with an answer, decided by its head. */
export type HeadDecision = "pass" | "not_run_signal" | "server_error" | "unframed";

/** What became of one attempt. */
export interface AttemptResult {
  readonly end: AttemptEnd;
  /** Whether bytes of the request may have left this VM. */
  readonly sent: boolean;
  /** Whether bytes of an answer went to the caller. */
  readonly answerBegan: boolean;
  /** Status of the target's answer; undefined where none began. */
  readonly status: number | undefined;
  /** Whether another request may follow on the connection. */
  readonly connectionUsable: boolean;
  /** Milliseconds until the answer's head; until the failure where there was none. */
  readonly headMilliseconds: number;
  /** Milliseconds that the target took, from the first byte sent to the last one received. */
  readonly targetMilliseconds: number;
  /** What was wrong, for `body_failed` and for the log. */
  readonly error: Error | undefined;
}

/** What an attempt needs to know. */
export interface AttemptRequest {
  readonly options: undici.Dispatcher.DispatchOptions;
  readonly answer: answers.CallerAnswer;
  readonly running: running.RunningRequest;
  /** Decides, by the head of the answer, whether it goes to the caller. */
  readonly decide: (status: number, rawHeaders: readonly Buffer[]) => HeadDecision;
  /** Time until an answer must have begun; undefined where only the request's deadline counts. */
  readonly headTimeoutMilliseconds: number | undefined;
}

/** Runs one attempt and resolves when nothing more of it can come. */
export function runAttempt(
  client: undici.Dispatcher,
  request: AttemptRequest,
): Promise<AttemptResult> {
  return new Promise((resolve) => {
    const exchange = new Exchange(request, resolve);
    client.dispatch(request.options, exchange);
  });
}

/** The handler through which the HTTP client tells what happens. */
class Exchange implements undici.Dispatcher.DispatchHandler {
  readonly #request: AttemptRequest;
  readonly #resolve: (result: AttemptResult) => void;
  readonly #startedMilliseconds = kernel.getMonotonicMilliseconds();
  readonly #headTimer: NodeJS.Timeout | undefined;
  #abort: ((error?: Error) => void) | undefined;
  #sentMilliseconds: number | undefined;
  #headMilliseconds: number | undefined;
  #status: number | undefined;
  #decision: HeadDecision = "pass";
  #discardedBytes = 0;
  #timedOut = false;
  #settled = false;

  constructor(request: AttemptRequest, resolve: (result: AttemptResult) => void) {
    this.#request = request;
    this.#resolve = resolve;
    request.running.onEnd(() => this.#stop());
    if (request.headTimeoutMilliseconds !== undefined) {
      this.#headTimer = setTimeout(() => {
        this.#timedOut = true;
        this.#stop();
      }, request.headTimeoutMilliseconds);
    }
  }

  onConnect(abort: (error?: Error) => void): void {
    // The client sends a request again by itself in rare cases; whether it may is not its decision.
    if (this.#settled || this.#sentMilliseconds !== undefined) {
      abort();
      return;
    }
    this.#abort = abort;
    this.#sentMilliseconds = kernel.getMonotonicMilliseconds();
  }

  onHeaders(
    status: number,
    rawHeaders: Buffer[],
    resume: () => void,
    statusText: string,
  ): boolean {
    // Informational answers concern this connection only.
    if (status < 200) {
      return true;
    }
    clearTimeout(this.#headTimer);
    this.#headMilliseconds = kernel.getMonotonicMilliseconds();
    this.#status = status;
    this.#decision = this.#request.decide(status, rawHeaders);
    if (this.#decision === "pass") {
      this.#request.answer.begin(status, statusText, rawHeaders, resume);
    } else if (this.#decision === "unframed") {
      this.#abort?.();
    }
    return true;
  }

  onData(chunk: Buffer): boolean {
    if (this.#decision === "pass") {
      return this.#request.answer.write(chunk);
    }
    this.#discardedBytes += chunk.length;
    if (this.#discardedBytes > MAXIMUM_DISCARDED_BYTES) {
      this.#abort?.();
    }
    return true;
  }

  onComplete(rawTrailers: string[] | null): void {
    if (this.#decision === "pass") {
      this.#request.answer.finish(rawTrailers ?? []);
      this.#settle("answered", true);
      return;
    }
    this.#settle(this.#decision, true);
  }

  onError(error: Error): void {
    this.#settle(this.#classify(error), false, error);
  }

  #stop(): void {
    if (this.#abort !== undefined) {
      this.#abort();
      return;
    }
    // Still without a connection: the client learns of it as soon as there is one.
    this.#settle(this.#timedOut ? "connect_failed" : "ended", false);
  }

  #classify(error: Error): AttemptEnd {
    if (this.#request.running.endReason !== undefined) {
      return "ended";
    }
    if (error instanceof bodies.BodyError) {
      return "body_failed";
    }
    if (this.#decision !== "pass") {
      return this.#decision;
    }
    if (this.#timedOut) {
      return this.#sentMilliseconds === undefined ? "connect_failed" : "attempt_timeout";
    }
    if (this.#sentMilliseconds === undefined) {
      const { code } = error as NodeJS.ErrnoException;
      return INVALID_REQUEST_CODES.has(code ?? "") ? "invalid" : "connect_failed";
    }
    return this.#status === undefined ? "reset" : "truncated";
  }

  #settle(end: AttemptEnd, connectionUsable: boolean, error?: Error): void {
    if (this.#settled) {
      return;
    }
    this.#settled = true;
    clearTimeout(this.#headTimer);
    this.#request.running.onEnd(undefined);
    const now = kernel.getMonotonicMilliseconds();
    this.#resolve({
      end,
      sent: this.#sentMilliseconds !== undefined,
      answerBegan: this.#status !== undefined && this.#decision === "pass",
      status: this.#status,
      connectionUsable,
      headMilliseconds: (this.#headMilliseconds ?? now) - this.#startedMilliseconds,
      targetMilliseconds: now - (this.#sentMilliseconds ?? now),
      error,
    });
  }
}
