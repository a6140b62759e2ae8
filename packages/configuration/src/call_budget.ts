/**
 * Limits this VM's calls to the platform to its share of the platform's rate limit.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as neverthrow from "neverthrow";
import type * as counting from "./counters.ts";
import type * as errors from "./errors.ts";
import type * as types from "./types.ts";

/** Calls per second that the platform allows for all clients together. */
const PLATFORM_CALLS_PER_SECOND = 2_000;

/** The share of the platform's rate limit for all VMs. The rest is left for other clients. */
const FLEET_SHARE = 0.5;

/** Upper limit for one VM, which takes effect in small fleets. */
const MAXIMUM_CALLS_PER_SECOND = 50;

/** Calls that are allowed in immediate succession after an idle period. */
const BURST_CALLS = 8;

const INITIAL_BACKOFF_MILLISECONDS = 500;
const MAXIMUM_BACKOFF_MILLISECONDS = 30_000;

type ReadResult = neverthrow.Result<types.PlatformValue, errors.PlatformError>;

/** Reads the platform within a call budget, and backs off when the platform limits the rate. */
export class BudgetedReader implements types.PlatformReader {
  readonly #reader: types.PlatformReader;
  readonly #getFleetSize: () => number;
  readonly #counters: counting.ConfigurationCounters;
  #tokens = BURST_CALLS;
  #refilledAt = kernel.getMonotonicMilliseconds();
  #backoffMilliseconds = 0;
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
    await this.#waitForToken(signal);
    return this.#recordResult(await this.#reader.get(key, timeoutMilliseconds, signal));
  }

  async watch(
    key: string,
    afterVersion: number,
    waitMilliseconds: number,
    signal?: AbortSignal,
  ): Promise<ReadResult> {
    await this.#waitForToken(signal);
    return this.#recordResult(
      await this.#reader.watch(key, afterVersion, waitMilliseconds, signal),
    );
  }

  close(): Promise<void> {
    return this.#reader.close();
  }

  async #waitForToken(signal: AbortSignal | undefined): Promise<void> {
    this.#refill();
    // Several calls may wait concurrently, so each takes its token in advance and then waits.
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
    const accrued = (now - this.#refilledAt) * this.#getRate() / 1_000;
    this.#refilledAt = now;
    this.#tokens = Math.min(BURST_CALLS, this.#tokens + accrued);
  }

  #getRate(): number {
    const share = PLATFORM_CALLS_PER_SECOND * FLEET_SHARE / Math.max(1, this.#getFleetSize());
    return Math.min(MAXIMUM_CALLS_PER_SECOND, share);
  }

  #recordResult(result: ReadResult): ReadResult {
    const outcome = result.isOk() ? "value" : result.error.kind;
    this.#counters.platformCalls.inc({ outcome });
    if (outcome !== "over_rate") {
      this.#backoffMilliseconds = 0;
      return result;
    }
    this.#backoffMilliseconds = Math.min(
      MAXIMUM_BACKOFF_MILLISECONDS,
      Math.max(INITIAL_BACKOFF_MILLISECONDS, this.#backoffMilliseconds * 2),
    );
    const jittered = this.#backoffMilliseconds * (0.5 + Math.random() / 2);
    this.#blockedUntil = kernel.getMonotonicMilliseconds() + jittered;
    return result;
  }
}
