/**
 * A queue of requests that wait for a slot, ordered by priority.
 *
 * Designed for short periods with more requests than slots. A request that waits here can still be
 * overtaken by one of higher priority, and be refused as not run; neither is possible once it waits
 * at a target. No request waits longer than is of use to its caller.
 */

import * as kernel from "@hemlockwalk/kernel";

/** How often the queue is processed when no call has ended on this VM; other VMs free slots too. */
const POLL_MILLISECONDS = 25;

/** A request in the queue. */
export interface QueuedRequest {
  /** Priority; 0 is the highest. */
  readonly priority: number;
  /** Whether the request accepts any target, since it has not tried one yet. */
  readonly acceptsAnyTarget: boolean;
  /** Monotonic time until which the request may wait, in milliseconds. */
  readonly waitUntil: number;
  /** Places the request if a target has a free slot; returns whether it did. */
  tryPlace(): boolean;
  /** Called once if the request was not placed in time. */
  onTimeout(): void;
}

/** The queue of one service. */
export class RequestQueue {
  readonly #requests: QueuedRequest[] = [];
  #timer: NodeJS.Timeout | undefined;

  get length(): number {
    return this.#requests.length;
  }

  /** Number of queued requests that are placed before a new one of the given priority. */
  countAhead(priority: number): number {
    return this.#requests.filter((request) => request.priority <= priority).length;
  }

  add(request: QueuedRequest): void {
    const index = this.#requests.findIndex((other) => other.priority > request.priority);
    this.#requests.splice(index < 0 ? this.#requests.length : index, 0, request);
    this.#timer ??= setInterval(() => this.advance(), POLL_MILLISECONDS);
  }

  remove(request: QueuedRequest): void {
    const index = this.#requests.indexOf(request);
    if (index >= 0) {
      this.#requests.splice(index, 1);
    }
    this.#stopWhenEmpty();
  }

  /** Places the requests that can be placed and removes those whose time is over. */
  advance(): void {
    const now = kernel.getMonotonicMilliseconds();
    // If no target has room for a request that accepts any, none has room for those behind it.
    let isFull = false;
    for (const request of [...this.#requests]) {
      if (now >= request.waitUntil) {
        this.remove(request);
        request.onTimeout();
      } else if (!isFull && request.tryPlace()) {
        this.remove(request);
      } else {
        isFull ||= request.acceptsAnyTarget;
      }
    }
    this.#stopWhenEmpty();
  }

  #stopWhenEmpty(): void {
    if (this.#requests.length === 0) {
      clearInterval(this.#timer);
      this.#timer = undefined;
    }
  }
}
