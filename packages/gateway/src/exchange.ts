/**
 * One attempt: sends a request on one connection to one target and returns the result.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as undici from "undici";
import * as bodies from "./bodies.ts";
import * as answers from "./answers.ts";
import type * as races from "./attempt_race.ts";

/**
 * A response that does not go to the caller at once is read up to this size, so that the connection
 * can be reused and an error response can be passed on later. The rest of a longer error response
 * stays unread on its connection until it is known whether it is passed on.
 */
const MAXIMUM_WITHHELD_BYTES = 64 * 1_024;

/** Largest response that is read as a whole before it goes to the caller. */
const MAXIMUM_WHOLE_BYTES = 256 * 1_024;

/** Error codes with which the HTTP client rejects a request before sending it. */
const INVALID_REQUEST_CODES: ReadonlySet<string> = new Set([
  "UND_ERR_INVALID_ARG",
  "UND_ERR_NOT_SUPPORTED",
  "UND_ERR_REQ_CONTENT_LENGTH_MISMATCH",
]);

/** How one attempt ended. */
export type AttemptEnd =
  /** The complete response of the target went to the caller. */
  | "answered"
  /** The target sent its service's signal for requests that it did not run. */
  | "not_run_signal"
  /** The target sent an error response that was withheld because another attempt may succeed. */
  | "server_error"
  /** The response has a status that no final response has. */
  | "malformed"
  /** The response has no length that the caller could know, so it could not detect a truncation. */
  | "unframed"
  /** No connection could be opened, or it was closed before the first byte was sent. */
  | "connect_failed"
  /** The connection ended before a response began. */
  | "reset"
  /** The connection ended after a response began, of which a part may have gone to the caller. */
  | "truncated"
  /**
   * The attempt was cancelled: another one won, or the request was ended by a disconnect, a
   * withdrawn key or its deadline (see its end reason).
   */
  | "ended"
  /** The HTTP client rejected the request before it sent anything. */
  | "invalid"
  /** The caller's body stalled, was too large or was truncated. */
  | "body_failed";

/** How a response is handled, decided by its status and headers. */
export type HeadDecision =
  | "pass"
  /** It goes to the caller once it has been read as a whole. */
  | "pass_whole"
  | "not_run_signal"
  | "server_error"
  | "malformed"
  | "unframed";

/** The result of one attempt. */
export interface AttemptResult {
  readonly end: AttemptEnd;
  /** Whether bytes of the request may have left this VM. */
  readonly sent: boolean;
  /** Whether the response has begun to go to the caller. */
  readonly answerBegan: boolean;
  /** Status of the target's response; undefined if none began. */
  readonly status: number | undefined;
  /** Whether the connection can be reused. */
  readonly connectionUsable: boolean;
  /** Time until the response's headers arrived, or until the failure if there were none. */
  readonly headMilliseconds: number;
  /** Time from the first byte sent to the last byte received. */
  readonly targetMilliseconds: number;
  /** The response of a `server_error`; undefined if it broke off. */
  readonly held: HeldAnswer | undefined;
  /** The cause of a failure; decides the refusal for `body_failed`. */
  readonly error: Error | undefined;
}

/** An error response that has not gone to the caller. */
export interface HeldAnswer {
  readonly answer: answers.WithheldAnswer;
  /** Undefined if the whole response is in memory. */
  readonly rest: UnreadRest | undefined;
}

/** The unread rest of a response. The target keeps its slot and connection until it has ended. */
export interface UnreadRest {
  /** Resolves once the rest has been read, has broken off or was dropped. */
  readonly ended: Promise<AttemptResult>;
  /** Sends the response to the caller, from its head. */
  pass(): void;
  /** Ends the response, also while it is being passed on. */
  drop(): void;
}

/** The input of one attempt. */
export interface AttemptRequest {
  readonly options: undici.Dispatcher.DispatchOptions;
  readonly answer: answers.CallerAnswer;
  /** Its cancellation ends the exchange. */
  readonly attempt: races.RacingAttempt;
  /** Decides by status and headers whether the response goes to the caller. */
  readonly decideOnHead: (status: number, rawHeaders: readonly Buffer[]) => HeadDecision;
  /** Called before the response goes to the caller. */
  readonly onAnswer: () => void;
}

/**
 * Runs one attempt and resolves when it has ended, or when the response that it holds is too long to
 * be kept.
 */
export function runAttempt(
  client: undici.Dispatcher,
  request: AttemptRequest,
): Promise<AttemptResult> {
  return new Promise((resolve) => {
    const exchange = new Exchange(request, resolve);
    client.dispatch(request.options, exchange);
  });
}

/** Receives the HTTP client's events for one attempt. */
class Exchange implements undici.Dispatcher.DispatchHandler {
  readonly #request: AttemptRequest;
  #resolve: (result: AttemptResult) => void;
  readonly #startedMilliseconds = kernel.getMonotonicMilliseconds();
  #abort: ((error?: Error) => void) | undefined;
  #sentMilliseconds: number | undefined;
  #headMilliseconds: number | undefined;
  #status: number | undefined;
  #decision: HeadDecision = "pass";
  #unsentBytes = 0;
  #withheld: answers.WithheldAnswer | undefined;
  #resume: () => void = () => {};
  #onAnswer: () => void;
  #isCancelled = false;
  #settled = false;

  constructor(request: AttemptRequest, resolve: (result: AttemptResult) => void) {
    this.#request = request;
    this.#resolve = resolve;
    this.#onAnswer = request.onAnswer;
    request.attempt.onCancel(() => this.#cancel());
  }

  onConnect(abort: (error?: Error) => void): void {
    // In rare cases undici retries by itself. Retries are decided by `Forwarder` alone.
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
    // Informational responses concern only this connection.
    if (status >= 100 && status < 200) {
      return true;
    }
    this.#headMilliseconds = kernel.getMonotonicMilliseconds();
    this.#status = status;
    this.#decision = this.#request.decideOnHead(status, rawHeaders);
    if (this.#decision === "pass") {
      this.#onAnswer();
      this.#request.answer.begin(status, statusText, rawHeaders, resume);
    } else if (this.#decision === "server_error" || this.#decision === "pass_whole") {
      this.#withheld = new answers.WithheldAnswer(status, statusText, rawHeaders);
      this.#resume = resume;
    } else if (this.#decision === "malformed" || this.#decision === "unframed") {
      this.#abort?.();
    }
    return true;
  }

  onData(chunk: Buffer): boolean {
    if (this.#decision === "pass") {
      return this.#request.answer.write(chunk);
    }
    this.#unsentBytes += chunk.length;
    this.#withheld?.write(chunk);
    if (this.#decision === "pass_whole") {
      if (this.#unsentBytes > MAXIMUM_WHOLE_BYTES) {
        this.#decision = "unframed";
        this.#abort?.();
      }
      return true;
    }
    if (this.#unsentBytes <= MAXIMUM_WITHHELD_BYTES) {
      return true;
    }
    if (this.#withheld === undefined) {
      this.#abort?.();
      return true;
    }
    this.#holdRest(this.#withheld);
    return false;
  }

  onComplete(rawTrailers: string[] | null): void {
    if (this.#decision === "pass") {
      this.#request.answer.finish(rawTrailers ?? []);
      this.#settle("answered", true);
      return;
    }
    this.#withheld?.finish(rawTrailers ?? []);
    if (this.#decision === "pass_whole") {
      const whole = kernel.getDefined(this.#withheld, "A response is kept until it is whole.");
      this.#onAnswer();
      this.#request.answer.pass(whole);
      this.#settle("answered", true);
      return;
    }
    this.#settle(this.#decision, true);
  }

  onError(error: Error): void {
    this.#settle(this.#classify(error), false, error);
  }

  /** Ends the attempt for the race, while the rest of the response stays unread. */
  #holdRest(withheld: answers.WithheldAnswer): void {
    const resolve = this.#resolve;
    const ended = new Promise<AttemptResult>((resolveRest) => {
      this.#resolve = resolveRest;
    });
    const rest: UnreadRest = {
      ended,
      pass: () => this.#passHeld(withheld),
      drop: () => this.#dropHeld(),
    };
    // The response has come, and it is passed on only after the other attempts have ended.
    this.#request.attempt.onCancel(undefined);
    this.#onAnswer = () => {};
    resolve({ ...this.#createResult("server_error", false), held: { answer: withheld, rest } });
  }

  #passHeld(withheld: answers.WithheldAnswer): void {
    if (this.#settled) {
      return;
    }
    const { answer } = this.#request;
    if (answer.mustBeWhole(withheld.status, withheld.rawHeaders)) {
      this.#decision = "pass_whole";
      this.#resume();
      return;
    }
    this.#decision = "pass";
    if (answer.beginWithheld(withheld, this.#resume)) {
      this.#resume();
    }
  }

  #dropHeld(): void {
    if (this.#settled) {
      return;
    }
    // What was held remains evidence about the target, unless it is cut while it is passed on.
    this.#isCancelled = this.#decision !== "server_error";
    this.#abort?.();
  }

  #cancel(): void {
    this.#isCancelled = true;
    if (this.#abort !== undefined) {
      this.#abort();
      return;
    }
    // There is no connection yet. `onConnect` aborts the request once there is one.
    this.#settle("ended", false);
  }

  #classify(error: Error): AttemptEnd {
    if (this.#isCancelled) {
      return "ended";
    }
    if (error instanceof bodies.BodyError) {
      return "body_failed";
    }
    if (this.#decision !== "pass" && this.#decision !== "pass_whole") {
      return this.#decision;
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
    this.#request.attempt.onCancel(undefined);
    this.#resolve(this.#createResult(end, connectionUsable, error));
  }

  #createResult(end: AttemptEnd, connectionUsable: boolean, error?: Error): AttemptResult {
    const now = kernel.getMonotonicMilliseconds();
    const answer = this.#withheld;
    return {
      end,
      sent: this.#sentMilliseconds !== undefined,
      answerBegan: this.#request.answer.hasBegun,
      status: this.#status,
      connectionUsable,
      headMilliseconds: (this.#headMilliseconds ?? now) - this.#startedMilliseconds,
      targetMilliseconds: now - (this.#sentMilliseconds ?? now),
      held: end === "server_error" && answer?.isComplete === true
        ? { answer, rest: undefined }
        : undefined,
      error,
    };
  }
}
