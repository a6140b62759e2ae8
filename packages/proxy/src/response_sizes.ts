/**
 * What this VM knows of the sizes of responses, by route: whether requests may start ahead behind
 * one.
 *
 * A response that is buffered whole before it begins can still be replaced by a failure if it breaks
 * off, and the connection goes on. A longer one begins before its end has arrived; if it breaks off,
 * it ends the connection, and those behind it on the connection lose their responses. So requests
 * start ahead only behind requests of routes whose responses have been short.
 *
 * Designed for 15,000 routes, most of which always send short responses, and for callers that send
 * four requests at once for responses of 500,000 bytes, of which one in a hundred breaks off.
 */

import * as kernel from "@hemlockwalk/kernel";

/** Time for which nothing starts ahead behind requests of a route that had a long response. */
const LONG_MEMORY_MILLISECONDS = 600_000;

/** Most routes that are remembered. One that is forgotten counts as unknown. */
const MAX_ROUTES = 20_000;

/** The sizes of responses that one VM has seen. */
export class ResponseSizes {
  /** Monotonic time of the latest long response of each route in milliseconds, or -infinity. */
  readonly #longAt = new Map<string, number>();

  /** Records a success that was buffered whole. */
  recordShort(route: string): void {
    if (!this.#longAt.has(route)) {
      this.#set(route, Number.NEGATIVE_INFINITY);
    }
  }

  /** Records a response, or the head of one, that is longer than what is buffered. */
  recordLong(route: string): void {
    this.#set(route, kernel.getMonotonicMilliseconds());
  }

  /** Whether responses of a route are known to be short. */
  isShort(route: string): boolean {
    const longAt = this.#longAt.get(route);
    return longAt !== undefined &&
      kernel.getMonotonicMilliseconds() - longAt >= LONG_MEMORY_MILLISECONDS;
  }

  #set(route: string, longAt: number): void {
    this.#longAt.set(route, longAt);
    const [oldest] = this.#longAt.keys();
    if (this.#longAt.size > MAX_ROUTES && oldest !== undefined) {
      this.#longAt.delete(oldest);
    }
  }
}
