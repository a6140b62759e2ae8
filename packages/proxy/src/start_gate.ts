/**
 * Holds requests that reach a VM before it knows what it serves.
 *
 * Load that this answers: when many VMs were gone at once, callers' connections stand in line and
 * are all accepted at the moment at which the first VMs listen again, a tenth to a quarter of a
 * second before declarations and targets have reached them. Held for so long these requests are
 * served; refused at once they are lost, since most callers do not come back. A VM that has learnt
 * nothing by then may not learn it soon, so it refuses at once.
 */

import type * as declarations from "@hemlockwalk/declarations";
import type * as kernel from "@hemlockwalk/kernel";

/** Requests are held until so long after the start: about twice the longest of 89 VMs (260 ms). */
export const HOLD_MILLISECONDS = 500;

/** Opens once declarations and targets are known, or when the time is over. */
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
    store.onVersion(() => this.#openWhenInformed());
    directory.onChange(() => this.#openWhenInformed());
  }

  /** Whether requests pass at once. */
  get isOpen(): boolean {
    return this.#isOpen;
  }

  start(): void {
    this.#timer = setTimeout(() => this.#open(), HOLD_MILLISECONDS);
  }

  stop(): void {
    this.#open();
  }

  /** Resolves when the gate opens. */
  wait(): Promise<void> {
    return this.#isOpen ? Promise.resolve() : new Promise((resolve) => this.#waiting.push(resolve));
  }

  #openWhenInformed(): void {
    if (!this.#isOpen && this.#store.current !== undefined && this.#directory.getMark() !== 0) {
      this.#open();
    }
  }

  #open(): void {
    clearTimeout(this.#timer);
    this.#isOpen = true;
    this.#waiting.splice(0).forEach((resolve) => resolve());
  }
}
