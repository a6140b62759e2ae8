/**
 * Counts the attempts of one request: how many targets have it, or may have it, and whether the next
 * attempt has to take a token of the retry budget.
 *
 * An attempt that did not reach its target counts neither against the route's attempts nor against
 * the budget, so the next one goes in its place. Attempts that run at the same time count while they
 * run, since each of them may reach its target.
 */

import * as kernel from "@hemlockwalk/kernel";

/** The attempts of one request. */
export class AttemptCount {
  #running = 0;
  #received = 0;
  #unspent = 0;

  /** Targets that have received the request, as far as known. */
  get received(): number {
    return this.#received;
  }

  /** Targets that have received the request or may still receive it. */
  get used(): number {
    return this.#received + this.#running;
  }

  /** @param targets Targets that the attempt may reach: several if another VM makes it. */
  begin(targets = 1): void {
    this.#running += targets;
  }

  /**
   * @param received How many of the targets may have received the request.
   * @param targets As stated at the beginning.
   */
  end(received: number, targets = 1): void {
    kernel.assert(this.#running >= targets, "Each attempt ends once.");
    this.#running -= targets;
    this.#received += received;
  }

  /** Records that an attempt has reached no target, so that its token is still there. */
  addUnspent(): void {
    this.#unspent++;
  }

  /** Whether the next attempt goes in the place of one that did not reach its target. */
  takeUnspent(): boolean {
    if (this.#unspent === 0) {
      return false;
    }
    this.#unspent--;
    return true;
  }
}
