/**
 * One connection of a caller: the order of its requests, and how it ends.
 *
 * Requests are handled one at a time. The next one begins once the response to the one before has
 * been handed to the network and the connection stays open behind it. So a request that was passed
 * on to a target is always the one whose response comes next, and nothing that ends the connection
 * behind a response takes another one with it: what was read behind it has not been passed on.
 *
 * A connection ends in two steps. This VM ends its own side, then reads and drops what the caller
 * still sends until the caller has ended its side. A connection that is closed with unread bytes is
 * reset, and a reset drops the part of the last response that has not been delivered.
 *
 * States:
 *
 * - `idle`: every request that was read has its response
 * - `handling`: the first request of the queue is handled, the others wait
 * - `discarding`: its response has been sent, and the rest of its body is read and dropped
 * - `lingering`: the own side has ended, and what the caller sends is read and dropped
 * - `closed`
 *
 * The module does not know HTTP or sockets; `http_connection.ts` binds it to them.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as records from "./connection_record.ts";
import type * as types from "./types.ts";

/** Requests that wait on a connection before reading pauses; those already received follow. */
const MAX_WAITING_REQUESTS = 16;

/** Most bytes, and longest time, for which the rest of an answered request is read. */
const MAX_DISCARDED_BYTES = 4_194_304;
const MAX_DISCARD_MILLISECONDS = 5_000;

/** Most bytes that are read after the own side has ended. */
const MAX_LINGER_BYTES = 4_194_304;

/** Time after a response within which its caller may still be reading it. */
const MAX_DELIVERY_MILLISECONDS = 10_000;

/** Time for which an idle connection is read after the own side has ended. */
const IDLE_LINGER_MILLISECONDS = 1_000;

/** Time that a new connection has for its first request when the VM stops. */
const FIRST_REQUEST_MILLISECONDS = 500;

const CHECK_INTERVAL_MILLISECONDS = 50;

/** The bytes of a connection. */
export interface ConnectionTransport {
  /** Bytes received so far. */
  readonly bytesRead: number;
  /** Bytes of responses that were not handed to the network. */
  readonly unsentBytes: number;
  /** Whether the connection failed with an error. */
  readonly hasFailed: boolean;
  /** Whether the caller has ended its side. */
  readonly isEndedByCaller: boolean;
  pauseReading(): void;
  resumeReading(): void;
  /** Sends the last bytes, if any, and ends the own side. */
  end(lastBytes?: string): void;
  /** Closes the connection; what was sent is delivered unless unread bytes arrive. */
  close(): void;
  /** Closes the connection with a reset; what was not delivered is dropped. */
  reset(): void;
}

/** A request of a connection and its response. */
export interface ConnectionExchange {
  /** Identifier that the caller sent. */
  readonly id: string;
  /** Whether the whole request has been read. */
  readonly isRead: boolean;
  /** Whether it was sent to a target or to another VM. */
  readonly isPassedOn: boolean;
  /**
   * Begins to handle the request, at most once.
   *
   * @param hasWaited Whether requests before it on its connection were handled first.
   */
  start(hasWaited: boolean): void;
  /** Reads and drops the rest of the request. */
  dropRest(): void;
  /** Responds that the rest of the request cannot be read. */
  reject(): void;
  /** Ends the handling, since nobody receives the response. */
  cancel(): void;
}

/** How a response is delimited. */
export type Delimiting = "framed" | "by_end";

type State = "idle" | "handling" | "discarding" | "lingering" | "closed";

/** One connection of a caller. */
export class CallerConnection {
  readonly #transport: ConnectionTransport;
  readonly #record: records.ConnectionEndListener;
  readonly #stop: types.StopState;
  /** The request that is handled, and those that wait. */
  readonly #queue: ConnectionExchange[] = [];
  /** The answered request whose rest is read and dropped. */
  #discarded: ConnectionExchange | undefined;
  #state: State = "idle";
  #isEndAnnounced = false;
  /** Whether the connection has to end behind the present response, announced or not. */
  #mustEnd = false;
  /** Response to bytes that are no request, sent when everything before them is answered. */
  #lastBytes: string | undefined;
  #isReadingPaused = false;
  #answered = 0;
  #answeredAt = Number.NEGATIVE_INFINITY;
  /** Bytes that had been received when the connection became idle. */
  #bytesWhenIdle = 0;
  #check: NodeJS.Timeout | undefined;
  #firstRequestTimer: NodeJS.Timeout | undefined;

  constructor(
    transport: ConnectionTransport,
    record: records.ConnectionEndListener,
    stop: types.StopState,
  ) {
    this.#transport = transport;
    this.#record = record;
    this.#stop = stop;
  }

  /** Whether a request is handled or waits. */
  get isBusy(): boolean {
    return this.#state === "handling";
  }

  get isClosed(): boolean {
    return this.#state === "closed";
  }

  /** Adds a request whose head has been read. */
  add(exchange: ConnectionExchange): void {
    const isOver = this.#state === "lingering" || this.#state === "closed" ||
      this.#lastBytes !== undefined;
    if (isOver) {
      exchange.dropRest();
      return;
    }
    this.#queue.push(exchange);
    if (this.#state === "idle") {
      this.#startFirst(false);
    } else if (this.#queue.length > MAX_WAITING_REQUESTS && !this.#isReadingPaused) {
      this.#isReadingPaused = true;
      this.#transport.pauseReading();
    }
  }

  /**
   * Decides, when the response's head is written, whether it announces the end of the connection.
   *
   * @param isRequired Whether the connection has to end behind this response.
   */
  decideEnd(isRequired: boolean): boolean {
    // While new connections are accepted, requests that have been read are served as well.
    const endsWithStop = this.#stop.isClosing ||
      (this.#stop.isStopping && this.#queue.length === 1 && this.#lastBytes === undefined);
    this.#isEndAnnounced = isRequired || this.#mustEnd || endsWithStop;
    return this.#isEndAnnounced;
  }

  /** Called when the connection has to end behind the present response, or at once without one. */
  requireEnd(): void {
    this.#mustEnd = true;
    if (this.#state === "idle") {
      this.#linger();
    }
  }

  /** Called when the response to the first request has been handed to the network completely. */
  onResponseSent(): void {
    if (this.#state !== "handling") {
      return;
    }
    this.#answered++;
    this.#answeredAt = kernel.getMonotonicMilliseconds();
    const exchange = this.#queue.shift();
    if (this.#isEndAnnounced || this.#mustEnd) {
      exchange?.dropRest();
      this.#linger();
    } else if (exchange?.isRead === false) {
      this.#state = "discarding";
      this.#discarded = exchange;
      exchange.dropRest();
      this.#watch(MAX_DISCARD_MILLISECONDS, MAX_DISCARDED_BYTES, () => this.#linger());
    } else {
      this.#advance();
    }
  }

  /** Called when a request has been read to its end. */
  onRequestRead(exchange: ConnectionExchange): void {
    if (this.#state === "discarding" && this.#discarded === exchange) {
      this.#advance();
    }
  }

  /**
   * Called when a response that has begun cannot be completed. Its caller must notice: a framed
   * response lacks its end, and one that is delimited by the end of the connection is reset.
   */
  breakOff(delimiting: Delimiting): void {
    if (this.#state === "closed" || this.#state === "lingering") {
      return;
    }
    if (delimiting === "framed") {
      this.#linger();
    } else {
      this.#state = "lingering";
      this.#transport.reset();
    }
  }

  /**
   * Called when the caller has sent something that is no request, or does not send its request in
   * time.
   *
   * @param response The response to it, sent after the responses that are owed.
   */
  onInvalidInput(response: string): void {
    if (this.#state === "lingering" || this.#state === "closed" || this.#lastBytes !== undefined) {
      return;
    }
    const latest = this.#queue.at(-1);
    if (this.#state === "discarding") {
      this.#linger();
    } else if (latest === undefined) {
      this.#linger(response);
    } else if (latest.isRead) {
      this.#lastBytes = response;
    } else if (this.#queue.length > 1) {
      this.#queue.pop()?.dropRest();
      this.#lastBytes = response;
    } else {
      this.#mustEnd = true;
      latest.reject();
    }
  }

  /** Called when the caller has not used the connection for the idle timeout. */
  onIdleTimeout(): void {
    if (this.#state === "idle") {
      this.#linger();
    }
  }

  /** Ends the connection, if no request is handled or being read, once the VM accepts no others. */
  endIfIdle(): void {
    if (this.#state !== "idle" || this.#transport.bytesRead > this.#bytesWhenIdle) {
      return;
    }
    if (this.#answered > 0) {
      this.#linger();
      return;
    }
    this.#firstRequestTimer = setTimeout(() => {
      if (this.#state === "idle" && this.#transport.bytesRead === 0) {
        this.#linger();
      }
    }, FIRST_REQUEST_MILLISECONDS);
  }

  /** Called when the connection has closed, for whatever reason. */
  onClosed(): void {
    if (this.#state === "closed") {
      return;
    }
    const ending = this.#getEnding();
    this.#state = "closed";
    clearTimeout(this.#check);
    clearTimeout(this.#firstRequestTimer);
    const unanswered = this.#queue.splice(0);
    this.#record.write({
      ending,
      isStopping: this.#stop.isStopping,
      answered: this.#answered,
      unanswered: unanswered.map(({ id, isPassedOn }) => ({ id, isPassedOn })),
      unsentBytes: this.#transport.unsentBytes,
    });
    unanswered.forEach((exchange) => exchange.cancel());
  }

  #getEnding(): records.ConnectionEnding {
    if (this.#isEndAnnounced || this.#mustEnd) {
      return "announced";
    }
    if (this.#transport.hasFailed) {
      return "failed";
    }
    return this.#transport.isEndedByCaller && this.#state !== "lingering" ? "caller" : "closed";
  }

  #startFirst(hasWaited: boolean): void {
    this.#state = "handling";
    this.#queue[0]?.start(hasWaited);
  }

  #advance(): void {
    clearTimeout(this.#check);
    this.#discarded = undefined;
    if (this.#isReadingPaused && this.#queue.length <= MAX_WAITING_REQUESTS / 2) {
      this.#isReadingPaused = false;
      this.#transport.resumeReading();
    }
    if (this.#queue.length > 0) {
      this.#startFirst(true);
      return;
    }
    this.#state = "idle";
    this.#bytesWhenIdle = this.#transport.bytesRead;
    if (this.#lastBytes !== undefined || this.#stop.isClosing) {
      this.#linger(this.#lastBytes);
    }
  }

  #linger(lastBytes?: string): void {
    this.#state = "lingering";
    this.#transport.end(lastBytes);
    this.#transport.resumeReading();
    this.#queue.forEach((exchange) => exchange.dropRest());
    const sinceAnswer = kernel.getMonotonicMilliseconds() - this.#answeredAt;
    const milliseconds = Math.max(
      IDLE_LINGER_MILLISECONDS,
      MAX_DELIVERY_MILLISECONDS - sinceAnswer,
    );
    this.#watch(milliseconds, MAX_LINGER_BYTES, () => this.#transport.close());
  }

  /** Calls `onExceeded` once more bytes than allowed have been read or the time is over. */
  #watch(milliseconds: number, bytes: number, onExceeded: () => void): void {
    clearTimeout(this.#check);
    const endsAt = kernel.getMonotonicMilliseconds() + milliseconds;
    const maxBytesRead = this.#transport.bytesRead + bytes;
    const check = () => {
      const isExceeded = kernel.getMonotonicMilliseconds() >= endsAt ||
        this.#transport.bytesRead > maxBytesRead;
      if (isExceeded) {
        onExceeded();
      } else {
        this.#check = setTimeout(check, CHECK_INTERVAL_MILLISECONDS);
      }
    };
    this.#check = setTimeout(check, CHECK_INTERVAL_MILLISECONDS);
  }
}
