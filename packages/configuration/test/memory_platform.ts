/**
 * The platform in memory, on the clock of the runtime, with the faults that tests need.
 */

import * as kernel from "@hemlockwalk/kernel";
import * as neverthrow from "neverthrow";
import type * as configuration from "../src/mod.ts";

const ANSWER_MILLISECONDS = 3;

/** How the platform looks from one VM. */
export type PlatformView =
  | { readonly kind: "normal" }
  /** Calls fail at once. */
  | { readonly kind: "away" }
  /** Calls get no answer, as when one direction is cut. */
  | { readonly kind: "silent" }
  /** An older replica answers: it has the first writes only. */
  | { readonly kind: "stale"; readonly writes: number }
  /** Only half of each value arrives. */
  | { readonly kind: "torn" };

interface Write {
  readonly key: string;
  readonly value: configuration.PlatformValue;
}

type ReadResult = neverthrow.Result<configuration.PlatformValue, configuration.PlatformError>;

/** Values that tests publish, and how each VM sees them. */
export class MemoryPlatform {
  readonly #writes: Write[] = [];
  readonly #views = new Map<string, PlatformView>();
  readonly #watchers = new Set<() => void>();
  /** Calls so far, a waiting watch counted as one. */
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

  /** Gives all VMs a normal view. */
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
    return this.#getView(vm).kind === "silent" ? timeoutMilliseconds : ANSWER_MILLISECONDS;
  }

  #answer(vm: string, key: string, afterVersion: number): ReadResult {
    const view = this.#getView(vm);
    if (view.kind === "away" || view.kind === "silent") {
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
