/**
 * Holds requests that arrive before a VM has received its declarations and targets.
 *
 * Designed for the restart of many VMs at once: callers' connections are queued and are all
 * accepted when the first VMs listen again, 100 to 250 ms before declarations and targets reach
 * them. Requests that are held for that time are served. If they were refused at once they would be
 * lost, since most callers do not retry. A VM that has received nothing by the end of the hold time
 * is not expected to receive it soon, so it refuses requests at once.
 */

import type * as declarations from "@hemlockwalk/declarations";
import type * as kernel from "@hemlockwalk/kernel";

/** Longest hold time after the start: about twice the longest time of 89 VMs (260 ms). */
export const MAX_HOLD_MILLISECONDS = 500;

/** Opens once declarations and targets are known, or when the hold time is over. */
export class StartGate implements kernel.Service {
  readonly #store: declarations.DeclarationStore;
  readonly #directory: declarations.TargetDirectory;
  readonly #waiting: (() => void)[] = [];
  #timer: NodeJS.Timeout | undefined;
  #isOpen = false;

  constructor(
    store: declarations.DeclarationStore,
    directory: declarations.TargetDirectory,
  ) {
    this.#store = store;
    this.#directory = directory;
    store.onVersion(() => this.#openWhenReady());
    directory.onChange(() => this.#openWhenReady());
  }

  /** Whether requests pass without being held. */
  get isOpen(): boolean {
    return this.#isOpen;
  }

  start(): void {
    this.#timer = setTimeout(() => this.#open(), MAX_HOLD_MILLISECONDS);
  }

  stop(): void {
    this.#open();
  }

  /** Resolves when the gate opens. */
  wait(): Promise<void> {
    return this.#isOpen ? Promise.resolve() : new Promise((resolve) => this.#waiting.push(resolve));
  }

  #openWhenReady(): void {
    if (!this.#isOpen && this.#store.current !== undefined && !this.#directory.isEmpty) {
      this.#open();
    }
  }

  #open(): void {
    clearTimeout(this.#timer);
    this.#isOpen = true;
    this.#waiting.splice(0).forEach((resolve) => resolve());
  }
}
