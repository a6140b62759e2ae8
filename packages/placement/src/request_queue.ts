/**
 * Requests that wait for a slot, the most urgent first.
 *
 * Load that this answers: more requests than slots for a short while. Whoever waits here can still
 * be overtaken by a more urgent request and refused as not run, which a request that waits at a
 * target cannot. Nobody waits longer than is of use to the caller.
 */

import * as kernel from "@hemlockwalk/kernel";

/** How often waiting requests are looked at when nothing has ended here; other VMs free slots too. */
const POLL_MILLISECONDS = 25;

/** A request in the line. */
export interface Waiter {
  /** Rank, 0 being the most urgent. */
  readonly priority: number;
  /** Whether any target will do: none has been tried yet. */
  readonly takesAnyTarget: boolean;
  /** Monotonic time until which waiting is of use, in milliseconds. */
  readonly waitUntil: number;
  /** Places the request if there is room; returns whether it did. */
  tryPlace(): boolean;
  /** Called once when the time is over. */
  giveUp(): void;
}

/** One line for each service. */
export class WaitingLine {
  readonly #waiters: Waiter[] = [];
  #timer: NodeJS.Timeout | undefined;

  get length(): number {
    return this.#waiters.length;
  }

  /** Number of waiting requests that are served before one of the given priority. */
  countAhead(priority: number): number {
    return this.#waiters.filter((waiter) => waiter.priority <= priority).length;
  }

  add(waiter: Waiter): void {
    const index = this.#waiters.findIndex((other) => other.priority > waiter.priority);
    this.#waiters.splice(index < 0 ? this.#waiters.length : index, 0, waiter);
    this.#timer ??= setInterval(() => this.advance(), POLL_MILLISECONDS);
  }

  remove(waiter: Waiter): void {
    const index = this.#waiters.indexOf(waiter);
    if (index >= 0) {
      this.#waiters.splice(index, 1);
    }
    this.#stopWhenEmpty();
  }

  /** Places whoever can be placed and gives up on those whose time is over. */
  advance(): void {
    const now = kernel.getMonotonicMilliseconds();
    // Where there is no room for a request that takes any target, there is none for those behind it.
    let isFull = false;
    for (const waiter of [...this.#waiters]) {
      if (now >= waiter.waitUntil) {
        this.remove(waiter);
        waiter.giveUp();
      } else if (!isFull && waiter.tryPlace()) {
        this.remove(waiter);
      } else {
        isFull ||= waiter.takesAnyTarget;
      }
    }
    this.#stopWhenEmpty();
  }

  #stopWhenEmpty(): void {
    if (this.#waiters.length === 0) {
      clearInterval(this.#timer);
      this.#timer = undefined;
    }
  }
}
