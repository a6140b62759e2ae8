/**
 * What a VM may spend on requests that run ahead of their turn: the memory for responses that wait
 * for their turn, and for long responses that are buffered whole since requests run ahead behind
 * them. Both are shared by all connections of callers.
 *
 * Each request that starts ahead reserves the most that is buffered of its response. Once the
 * response has been read, only its size stays reserved. So the limit holds whatever targets send,
 * without a connection having to know of the others.
 *
 * Designed for about 230 requests per second of 0.5 s at a VM, of which one in seven waits behind
 * another on its connection: some 16 requests run ahead at once.
 *
 * Requests start ahead only behind responses that are expected to be short, so a long one is a
 * surprise. The memory for these suffices for seven of 540,000 bytes at once.
 */

import type * as kernel from "@hemlockwalk/kernel";

/** Most bytes that are buffered of the response to a request that runs ahead. */
export const MAX_AHEAD_RESPONSE_BYTES = 65_536;

/** Most bytes that are reserved for such responses on one VM. */
const MAX_RESERVED_BYTES = 1_048_576;

/** Most bytes that are buffered of one long response, and of all of them on one VM. */
const MAX_LONG_RESPONSE_BYTES = 1_048_576;
const MAX_LONG_BYTES = 4_194_304;

/** What becomes of a request that runs ahead. */
export type AheadEvent =
  | "started"
  /** Its connection ended before its turn. */
  | "cancelled";

/** The memory that one request that runs ahead may use for its response. */
export interface AheadReservation {
  /** Returns what the response does not need, once its size is known. */
  shrinkTo(bytes: number): void;
  /** Returns all of it, when the request's turn has come. */
  release(): void;
  /** Returns all of it, when the request is cancelled before its turn. */
  cancel(): void;
}

/** The memory that one long response may use while requests run ahead behind it. */
export interface LongReservation {
  /** Whether so many bytes of the response may be buffered. */
  growTo(bytes: number): boolean;
  /** Returns all of it. */
  release(): void;
}

/** The memory for responses to requests that run ahead on one VM, and for long ones before them. */
export class AheadBudget {
  readonly #events: Pick<kernel.Counter<"event">, "inc">;
  readonly #maxBytes: number;
  #reservedBytes = 0;
  #longBytes = 0;

  /**
   * @param events Counts the requests that started ahead, and those that were cancelled.
   * @param maxBytes Most bytes that are reserved at once.
   */
  constructor(events: Pick<kernel.Counter<"event">, "inc">, maxBytes = MAX_RESERVED_BYTES) {
    this.#events = events;
    this.#maxBytes = maxBytes;
  }

  get reservedBytes(): number {
    return this.#reservedBytes;
  }

  get longBytes(): number {
    return this.#longBytes;
  }

  /** Creates a reservation, still empty, for a long response. */
  createLongReservation(): LongReservation {
    let reserved = 0;
    return {
      growTo: (bytes) => {
        const more = Math.max(0, bytes - reserved);
        if (bytes > MAX_LONG_RESPONSE_BYTES || this.#longBytes + more > MAX_LONG_BYTES) {
          return false;
        }
        reserved += more;
        this.#longBytes += more;
        return true;
      },
      release: () => {
        this.#longBytes -= reserved;
        reserved = 0;
      },
    };
  }

  /** Reserves memory for a request that is about to start ahead; undefined if too little is left. */
  reserve(): AheadReservation | undefined {
    if (this.#reservedBytes + MAX_AHEAD_RESPONSE_BYTES > this.#maxBytes) {
      return undefined;
    }
    let reserved = MAX_AHEAD_RESPONSE_BYTES;
    this.#reservedBytes += reserved;
    this.#count("started");
    const shrinkTo = (bytes: number) => {
      const returned = Math.max(0, reserved - bytes);
      reserved -= returned;
      this.#reservedBytes -= returned;
    };
    return {
      shrinkTo,
      release: () => shrinkTo(0),
      cancel: () => {
        shrinkTo(0);
        this.#count("cancelled");
      },
    };
  }

  #count(event: AheadEvent): void {
    this.#events.inc({ event });
  }
}
