/**
 * Holds requests that arrive before a VM has received its declarations and targets.
 *
 * Designed for the restart of many VMs at once: callers' connections are queued and are all
 * accepted when the first VMs listen again, 100 to 250 ms before declarations and targets reach
 * them. Requests that are held for that time are served. If they were refused at once they would be
 * lost, since most callers do not retry. A VM that has received nothing by the end of the hold time
 * is not expected to receive it soon, so it refuses requests at once.
 *
 * A VM that knows of a peer with orders to evacuate data centres waits for these too, within the
 * same hold time, so that its first requests do not go to an evacuated data centre.
 */

import type * as declarations from "@hemlockwalk/declarations";
import type * as kernel from "@hemlockwalk/kernel";

/** Longest hold time after the start: about twice the longest time of 89 VMs (260 ms). */
export const MAX_HOLD_MILLISECONDS = 500;

/** What the gate needs to know of the orders to evacuate data centres. */
export interface KnownOrders {
  /** Whether this VM has the orders, or knows of no VM that has them. */
  readonly isCurrent: () => boolean;
  /** Sets what is called when this VM has received them. */
  readonly onConfirm: (listener: () => void) => void;
}

/** Opens once declarations and targets are known, or when the hold time is over. */
export class StartGate implements kernel.Service {
  readonly #store: declarations.DeclarationStore;
  readonly #directory: declarations.TargetDirectory;
  readonly #orders: KnownOrders | undefined;
  readonly #waiting: (() => void)[] = [];
  #timer: NodeJS.Timeout | undefined;
  #isOpen = false;

  constructor(
    store: declarations.DeclarationStore,
    directory: declarations.TargetDirectory,
    orders?: KnownOrders,
  ) {
    this.#store = store;
    this.#directory = directory;
    this.#orders = orders;
    orders?.onConfirm(() => this.#openWhenReady());
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
    const isReady = this.#store.current !== undefined && !this.#directory.isEmpty &&
      this.#orders?.isCurrent() !== false;
    if (!this.#isOpen && isReady) {
      this.#open();
    }
  }

  #open(): void {
    clearTimeout(this.#timer);
    this.#isOpen = true;
    this.#waiting.splice(0).forEach((resolve) => resolve());
  }
}
