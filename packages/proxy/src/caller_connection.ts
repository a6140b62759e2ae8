/**
 * One connection of a caller: the order of its requests, and how it ends.
 *
 * Responses are sent in the order of the requests. A request begins when its turn comes: once the
 * response to the one before has been handed to the network and the connection stays open behind
 * it. Up to three further requests run ahead of their turn if the caller cannot tell the difference,
 * and their responses wait. Requests that were passed on to a target are therefore always the first
 * ones of the queue, and no response announces the end of the connection while one behind it runs
 * ahead. So nothing that ends the connection in order takes a response with it: what was read
 * behind has not been passed on.
 *
 * Only a response that breaks off after it has begun ends the connection before the responses to
 * requests that run ahead, which are cancelled. So nothing starts ahead behind a response that has
 * begun, nor behind a request whose response is not known to be short, that is, to be buffered whole
 * before it begins. A long response that begins nevertheless while requests run ahead behind it is
 * buffered whole as well, within the memory that `AheadBudget` allows. Beyond that, at most three
 * requests of a connection are at risk.
 *
 * Before the process ends, each request that still runs gets a response of this VM, so that the
 * responses behind it, which wait for their turn, are sent as well.
 *
 * A connection ends in two steps. This VM ends its own side, then reads and drops what the caller
 * still sends until the caller has ended its side. A connection that is closed with unread bytes is
 * reset, and a reset drops the part of the last response that has not been delivered.
 *
 * States:
 *
 * - `idle`: every request that was read has its response
 * - `handling`: the first request of the queue is handled, the next ones may run ahead, and the
 *   others wait
 * - `discarding`: its response has been sent, and the rest of its body is read and dropped
 * - `lingering`: the own side has ended, and what the caller sends is read and dropped
 * - `closed`
 *
 * The module does not know HTTP or sockets; `http_connection.ts` binds it to them.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as budgets from "./ahead_budget.ts";
import type * as records from "./connection_record.ts";
import type * as types from "./types.ts";

/** Requests that wait on a connection before reading pauses; those already received follow. */
const MAX_WAITING_REQUESTS = 16;

/** Most requests of a connection that are handled at once: the first, and those that run ahead. */
const MAX_RUNNING_REQUESTS = 4;

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
   * Whether it may be handled at the same time as others on its connection for which this holds. If
   * so, its request has no body.
   */
  readonly mayRunAhead: boolean;
  /** Whether its response is known to be buffered whole before it begins. */
  readonly isResponseShort: boolean;
  /**
   * Begins to handle the request, at most once.
   *
   * @param hasWaited Whether requests before it on its connection were handled first.
   */
  start(hasWaited: boolean): void;
  /**
   * Begins to handle the request ahead of its turn, in place of `start`. Its response waits until
   * `takeTurn` is called.
   *
   * @param before Number of requests before it on its connection that are not answered yet.
   */
  startAhead(reservation: budgets.AheadReservation, before: number): void;
  /** Sends the response to a request that was started ahead, as soon as there is one. */
  takeTurn(): void;
  /** Reads and drops the rest of the request. */
  dropRest(): void;
  /** Responds that the rest of the request cannot be read. */
  reject(): void;
  /** Responds at once if there is no response yet, since the process is about to end. */
  cutOff(): void;
  /** Ends the handling, since nobody receives the response. Later calls have no effect. */
  cancel(): void;
}

type State = "idle" | "handling" | "discarding" | "lingering" | "closed";

/** One connection of a caller. */
export class CallerConnection {
  readonly #transport: ConnectionTransport;
  readonly #record: records.ConnectionEndListener;
  readonly #stop: types.StopState;
  readonly #budget: budgets.AheadBudget;
  /** The requests that are handled, and behind them those that wait. */
  readonly #queue: ConnectionExchange[] = [];
  /** Number of requests at the front of the queue that are handled. */
  #running = 0;
  /** What the requests that run ahead have reserved. */
  readonly #reservations = new Map<ConnectionExchange, budgets.AheadReservation>();
  /** What the response to the first request uses beyond what is buffered of any. */
  readonly #longReservation: budgets.LongReservation;
  /** Whether the response to the first request has begun. */
  #hasResponseBegun = false;
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
  #firstRequestTimer: kernel.StoppableTimer | undefined;

  constructor(
    transport: ConnectionTransport,
    record: records.ConnectionEndListener,
    stop: types.StopState,
    budget: budgets.AheadBudget,
  ) {
    this.#transport = transport;
    this.#record = record;
    this.#stop = stop;
    this.#budget = budget;
    this.#longReservation = budget.createLongReservation();
  }

  /** Whether requests run ahead behind the first one. */
  get hasRunningBehind(): boolean {
    return this.#running > 1;
  }

  /**
   * Whether so many bytes of the response to the first request may be buffered before it begins,
   * beyond what is buffered of any response: as long as requests run ahead behind it, which it would
   * take with it if it broke off.
   */
  mayBufferLong(bytes: number): boolean {
    return this.isBusy && this.hasRunningBehind && this.#longReservation.growTo(bytes);
  }

  /** Whether a request is handled or waits. */
  get isBusy(): boolean {
    return this.#state === "handling";
  }

  /** Whether the caller has sent nothing yet. */
  get isUnused(): boolean {
    return this.#state === "idle" && this.#transport.bytesRead === 0;
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
      return;
    }
    if (this.#queue.length > MAX_WAITING_REQUESTS && !this.#isReadingPaused) {
      this.#isReadingPaused = true;
      this.#transport.pauseReading();
    }
    this.#startAhead();
  }

  /**
   * Decides, when the response's head is written, whether it announces the end of the connection.
   * It never does while requests run ahead behind it.
   */
  decideEnd(): boolean {
    this.#hasResponseBegun = true;
    // While new connections are accepted, requests that have been read are served as well.
    const endsWithStop = this.#stop.isClosing ||
      (this.#stop.isStopping && this.#queue.length === 1 && this.#lastBytes === undefined);
    this.#isEndAnnounced = this.#running <= 1 && (this.#mustEnd || endsWithStop);
    return this.#isEndAnnounced;
  }

  /**
   * Called when the connection has to end behind the present response, or behind those of the
   * requests that run ahead, or at once without any.
   */
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
    this.#running--;
    this.#hasResponseBegun = false;
    this.#longReservation.release();
    if (this.#running === 0 && (this.#isEndAnnounced || this.#mustEnd)) {
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

  /** Called instead when its end shows that it is malformed, and where it ends is uncertain. */
  onMalformedEnd(exchange: ConnectionExchange): void {
    if (this.#state === "discarding" && this.#discarded === exchange) {
      this.#linger();
    } else if (this.#state === "handling" && this.#queue[0] === exchange) {
      this.#mustEnd = true;
      exchange.reject();
    }
  }

  /**
   * Called when a response that has begun cannot be completed. Its caller notices, since the response
   * lacks its end. The connection is not reset, which would drop responses before it that have not
   * been delivered.
   */
  breakOff(): void {
    if (this.#state !== "closed" && this.#state !== "lingering") {
      this.#linger();
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
    } else if (this.#queue.length > this.#running) {
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
    this.#firstRequestTimer = kernel.startInputTimer(() => {
      if (this.#state === "idle" && this.#transport.bytesRead === 0) {
        this.#linger();
      }
    }, FIRST_REQUEST_MILLISECONDS);
  }

  /**
   * Lets every request that is handled have its response now, since the process is about to end. Once
   * the listener is closed, the last of them announces the end of the connection.
   */
  cutOff(): void {
    if (this.#state === "handling") {
      this.#queue.slice(0, this.#running).forEach((exchange) => exchange.cutOff());
    } else if (this.#state === "idle" || this.#state === "discarding") {
      this.#linger();
    }
  }

  /** Called when the connection has closed, for whatever reason. */
  onClosed(): void {
    if (this.#state === "closed") {
      return;
    }
    const ending = this.#getEnding();
    this.#state = "closed";
    clearTimeout(this.#check);
    this.#firstRequestTimer?.stop();
    this.#longReservation.release();
    this.#cancelAhead();
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
    this.#running = 1;
    this.#queue[0]?.start(hasWaited);
    this.#startAhead();
  }

  /** Starts the next requests ahead of their turn, as far as that is allowed. */
  #startAhead(): void {
    while (this.#mayStartAhead()) {
      const reservation = this.#budget.reserve();
      const exchange = this.#queue[this.#running];
      if (reservation === undefined || exchange === undefined) {
        return;
      }
      this.#reservations.set(exchange, reservation);
      exchange.startAhead(reservation, this.#running++);
    }
  }

  #mayStartAhead(): boolean {
    const isBarred = this.#state !== "handling" || this.#hasResponseBegun || this.#mustEnd ||
      this.#stop.isStopping;
    return !isBarred && this.#running < MAX_RUNNING_REQUESTS &&
      this.#running < this.#queue.length &&
      this.#queue.slice(0, this.#running + 1).every(({ mayRunAhead }) => mayRunAhead) &&
      this.#queue.slice(0, this.#running).every(({ isResponseShort }) => isResponseShort);
  }

  /** Cancels the requests that run ahead; they stay in the queue, as unanswered ones. */
  #cancelAhead(): void {
    for (const [exchange, reservation] of this.#reservations) {
      reservation.cancel();
      exchange.cancel();
    }
    this.#reservations.clear();
  }

  /** Lets the first request of the queue, which was started ahead, send its response. */
  #takeTurn(exchange: ConnectionExchange): void {
    this.#reservations.get(exchange)?.release();
    this.#reservations.delete(exchange);
    // Its response may begin at once, behind which nothing starts ahead.
    exchange.takeTurn();
    this.#startAhead();
  }

  #advance(): void {
    clearTimeout(this.#check);
    this.#discarded = undefined;
    if (this.#isReadingPaused && this.#queue.length <= MAX_WAITING_REQUESTS / 2) {
      this.#isReadingPaused = false;
      this.#transport.resumeReading();
    }
    const [first] = this.#queue;
    if (first !== undefined && this.#running > 0) {
      this.#takeTurn(first);
      return;
    }
    if (first !== undefined) {
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
    this.#cancelAhead();
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
