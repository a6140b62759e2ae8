/**
 * Keeps the platform's calls within this VM's part of what the platform allows to all.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as neverthrow from "neverthrow";
import type * as counting from "./counters.ts";
import type * as errors from "./errors.ts";
import type * as types from "./types.ts";

/** Calls a second that the platform allows, over all readers. */
const PLATFORM_CALLS_PER_SECOND = 2_000;

/** The part of them that all VMs together plan to use. The rest is left for other readers. */
const PLANNED_SHARE = 0.5;

/** A small fleet has no use for more. */
const HIGHEST_CALLS_PER_SECOND = 50;

/** Calls that may follow each other at once after a quiet time. */
const BURST_CALLS = 8;

const FIRST_BACKOFF_MILLISECONDS = 500;
const HIGHEST_BACKOFF_MILLISECONDS = 30_000;

type ReadResult = neverthrow.Result<types.PlatformValue, errors.PlatformError>;

/** Reads the platform within a budget, and backs off while the platform says that it is over its rate. */
export class BudgetedReader implements types.PlatformReader {
  readonly #reader: types.PlatformReader;
  readonly #getFleetSize: () => number;
  readonly #counters: counting.ConfigurationCounters;
  #tokens = BURST_CALLS;
  #refilled = kernel.getMonotonicMilliseconds();
  #backoff = 0;
  #blockedUntil = Number.NEGATIVE_INFINITY;

  constructor(
    reader: types.PlatformReader,
    getFleetSize: () => number,
    counters: counting.ConfigurationCounters,
  ) {
    this.#reader = reader;
    this.#getFleetSize = getFleetSize;
    this.#counters = counters;
  }

  async get(
    key: string,
    timeoutMilliseconds: number,
    signal?: AbortSignal,
  ): Promise<ReadResult> {
    await this.#waitForTurn(signal);
    return this.#note(await this.#reader.get(key, timeoutMilliseconds, signal));
  }

  async watch(
    key: string,
    afterVersion: number,
    waitMilliseconds: number,
    signal?: AbortSignal,
  ): Promise<ReadResult> {
    await this.#waitForTurn(signal);
    return this.#note(await this.#reader.watch(key, afterVersion, waitMilliseconds, signal));
  }

  close(): Promise<void> {
    return this.#reader.close();
  }

  async #waitForTurn(signal: AbortSignal | undefined): Promise<void> {
    this.#refill();
    // Several calls may wait at once, so each takes its token before it waits for it.
    this.#tokens--;
    const untilToken = -this.#tokens * 1_000 / this.#getRate();
    const untilUnblocked = this.#blockedUntil - kernel.getMonotonicMilliseconds();
    const wait = Math.max(untilToken, untilUnblocked);
    if (wait > 0) {
      this.#counters.budgetWaits.inc();
      await kernel.sleep(wait, signal);
    }
  }

  #refill(): void {
    const now = kernel.getMonotonicMilliseconds();
    const accrued = (now - this.#refilled) * this.#getRate() / 1_000;
    this.#refilled = now;
    this.#tokens = Math.min(BURST_CALLS, this.#tokens + accrued);
  }

  #getRate(): number {
    const fair = PLATFORM_CALLS_PER_SECOND * PLANNED_SHARE / Math.max(1, this.#getFleetSize());
    return Math.min(HIGHEST_CALLS_PER_SECOND, fair);
  }

  #note(result: ReadResult): ReadResult {
    const outcome = result.isOk() ? "value" : result.error.kind;
    this.#counters.platformCalls.inc({ outcome });
    if (outcome !== "over_rate") {
      this.#backoff = 0;
      return result;
    }
    this.#backoff = Math.min(
      HIGHEST_BACKOFF_MILLISECONDS,
      Math.max(FIRST_BACKOFF_MILLISECONDS, this.#backoff * 2),
    );
    const jittered = this.#backoff * (0.5 + Math.random() / 2);
    this.#blockedUntil = kernel.getMonotonicMilliseconds() + jittered;
    return result;
  }
}
