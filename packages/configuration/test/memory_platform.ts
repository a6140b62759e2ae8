/**
 * An in-memory platform for tests, with fault injection. It uses the runtime's timers, so tests can
 * control its time.
 */

import * as kernel from "@hemlockwalk/kernel";
import * as neverthrow from "neverthrow";
import type * as configuration from "../src/mod.ts";

const RESPONSE_DELAY_MILLISECONDS = 3;

/** How the platform responds to one VM. */
export type PlatformView =
  | { readonly kind: "normal" }
  /** Calls fail immediately. */
  | { readonly kind: "unreachable" }
  /** Calls time out without a response, as when one direction of the connection is cut. */
  | { readonly kind: "silent" }
  /** A stale replica responds, which has only the first writes. */
  | { readonly kind: "stale"; readonly writes: number }
  /** Each value is truncated to half its length. */
  | { readonly kind: "torn" };

interface Write {
  readonly key: string;
  readonly value: configuration.PlatformValue;
}

type ReadResult = neverthrow.Result<configuration.PlatformValue, configuration.PlatformError>;

/** Holds the values that a test publishes, and the view of each VM. */
export class MemoryPlatform {
  readonly #writes: Write[] = [];
  readonly #views = new Map<string, PlatformView>();
  readonly #watchers = new Set<() => void>();
  /** Number of calls so far. A watch counts as one call. */
  calls = 0;

  /** Number of values written so far. */
  get writes(): number {
    return this.#writes.length;
  }

  publish(key: string, text: string): void {
    const version = (this.#find(key, this.#writes.length)?.version ?? 0) + 1;
    this.#writes.push({ key, value: { version, text } });
    for (const wake of [...this.#watchers]) {
      wake();
    }
  }

  setView(vm: string, view: PlatformView): void {
    this.#views.set(vm, view);
  }

  /** Restores the normal view of all VMs. */
  heal(): void {
    this.#views.clear();
  }

  createReader(vm: string): configuration.PlatformReader {
    return {
      get: async (key, timeout, signal) => {
        this.calls++;
        await this.#wait(this.#getDelay(vm, timeout), signal);
        return this.#answer(vm, key, 0);
      },
      watch: (key, afterVersion, wait, signal) => this.#watch(vm, key, afterVersion, wait, signal),
      close: () => Promise.resolve(),
    };
  }

  async #watch(
    vm: string,
    key: string,
    afterVersion: number,
    waitMilliseconds: number,
    signal: AbortSignal | undefined,
  ): Promise<ReadResult> {
    this.calls++;
    await this.#wait(this.#getDelay(vm, waitMilliseconds), signal);
    const first = this.#answer(vm, key, afterVersion);
    if (first.isOk() || first.error.kind !== "absent" || signal?.aborted) {
      return first;
    }
    let isOver = false;
    void this.#wait(waitMilliseconds, signal).then(() => {
      isOver = true;
      [...this.#watchers].forEach((wake) => wake());
    });
    for (;;) {
      await new Promise<void>((resolve) => {
        const wake = () => {
          this.#watchers.delete(wake);
          resolve();
        };
        this.#watchers.add(wake);
      });
      const answer = this.#answer(vm, key, afterVersion);
      if (answer.isOk() || isOver) {
        return answer;
      }
    }
  }

  #getView(vm: string): PlatformView {
    return this.#views.get(vm) ?? { kind: "normal" };
  }

  #getDelay(vm: string, timeoutMilliseconds: number): number {
    return this.#getView(vm).kind === "silent" ? timeoutMilliseconds : RESPONSE_DELAY_MILLISECONDS;
  }

  #answer(vm: string, key: string, afterVersion: number): ReadResult {
    const view = this.#getView(vm);
    if (view.kind === "unreachable" || view.kind === "silent") {
      return neverthrow.err({ kind: "unreachable", detail: view.kind });
    }
    const value = this.#find(key, view.kind === "stale" ? view.writes : this.#writes.length);
    if (value === undefined || value.version <= afterVersion) {
      return neverthrow.err({ kind: "absent", detail: key });
    }
    const length = view.kind === "torn" ? value.text.length >> 1 : value.text.length;
    return neverthrow.ok({ version: value.version, text: value.text.slice(0, length) });
  }

  #find(key: string, writes: number): configuration.PlatformValue | undefined {
    return this.#writes.slice(0, writes).findLast((write) => write.key === key)?.value;
  }

  async #wait(milliseconds: number, signal: AbortSignal | undefined): Promise<void> {
    await kernel.sleep(milliseconds, signal);
  }
}
