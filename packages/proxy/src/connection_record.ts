/**
 * Records how callers' connections end and what was owed on them: requests that were passed on and
 * have no complete response, and requests that were read and never passed on.
 */

import * as kernel from "@hemlockwalk/kernel";

/** Lines per second about connections that ended with unanswered requests. */
const LINES_PER_SECOND = 20;

/**
 * How a connection ended.
 *
 * - `announced`: a response had announced it
 * - `caller`: the caller ended its side first
 * - `failed`: with an error of the connection, such as a reset
 * - `closed`: this VM closed it without an announcement
 */
export type ConnectionEnding = "announced" | "caller" | "failed" | "closed";

/** An unanswered request of a connection that has ended. */
export interface UnansweredRequest {
  readonly id: string;
  /** Whether it was sent to a target or to another VM, so that it may have run. */
  readonly isPassedOn: boolean;
}

/** The end of a connection. */
export interface ConnectionEnd {
  readonly ending: ConnectionEnding;
  readonly isStopping: boolean;
  /** Responses that were handed to the network completely. */
  readonly answered: number;
  readonly unanswered: readonly UnansweredRequest[];
  /** Bytes of responses that were not handed to the network. */
  readonly unsentBytes: number;
}

/** Receives how connections have ended. */
export interface ConnectionEndListener {
  write(end: ConnectionEnd): void;
}

/** Counts the ends of connections and logs those with unanswered requests. */
export class ConnectionRecord implements ConnectionEndListener {
  readonly #logger: kernel.ComponentLogger;
  readonly #ends: kernel.Counter<"ending">;
  readonly #unanswered: kernel.Counter<"ending" | "state">;
  #windowStart = Number.NEGATIVE_INFINITY;
  #linesLeft = 0;

  constructor(logger: kernel.ComponentLogger, metrics: kernel.Metrics) {
    this.#logger = logger;
    this.#ends = metrics.createCounter(
      "hemlockwalk_caller_connections_ended_total",
      "Ended connections of callers.",
      ["ending"],
    );
    this.#unanswered = metrics.createCounter(
      "hemlockwalk_unanswered_requests_total",
      "Requests without a complete response when their caller's connection ended.",
      ["ending", "state"],
    );
  }

  write(end: ConnectionEnd): void {
    const { ending, unanswered } = end;
    this.#ends.inc({ ending });
    for (const { isPassedOn } of unanswered) {
      this.#unanswered.inc({ ending, state: isPassedOn ? "passed_on" : "waiting" });
    }
    // Callers that leave are in the traces of their requests.
    if (unanswered.length === 0 || ending === "caller" || !this.#takeLine()) {
      return;
    }
    const list = (isPassedOn: boolean) =>
      unanswered.filter((request) => request.isPassedOn === isPassedOn).map(({ id }) => id).join();
    this.#logger.write(kernel.LogMessages.connectionEnded, {
      ending,
      stopping: end.isStopping,
      answered: end.answered,
      passedOn: list(true),
      waiting: list(false),
      unsentBytes: end.unsentBytes,
    });
  }

  #takeLine(): boolean {
    const now = kernel.getMonotonicMilliseconds();
    if (now - this.#windowStart >= 1_000) {
      this.#windowStart = now;
      this.#linesLeft = LINES_PER_SECOND;
    }
    return this.#linesLeft-- > 0;
  }
}
