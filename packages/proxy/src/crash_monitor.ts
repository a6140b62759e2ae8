/**
 * Watches for requests under which targets end.
 */

import type * as declarations from "@hemlockwalk/declarations";
import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import type * as checks from "./target_end_check.ts";

/** Investigates the calls of this VM that broke off. */
export class CrashMonitor implements kernel.Service {
  readonly #checks: checks.TargetEndChecks;
  readonly #logger: kernel.ComponentLogger;
  readonly #breakCounter: kernel.Counter<"finding">;

  constructor(
    targetChecks: checks.TargetEndChecks,
    logger: kernel.ComponentLogger,
    metrics: kernel.Metrics,
  ) {
    this.#checks = targetChecks;
    this.#logger = logger;
    this.#breakCounter = metrics.createCounter(
      "hemlockwalk_broken_calls_total",
      "Calls that broke off, by what was found of the target.",
      ["finding"],
    );
  }

  stop(): void {
    this.#checks.stop();
  }

  /** Records that a call broke off while its target may have been running the request. */
  recordBreak(target: declarations.TargetEntry, fingerprint: model.RequestFingerprint): void {
    this.#investigate(target, fingerprint).catch((error: unknown) => {
      this.#logger.write(kernel.LogMessages.errorCaught, { error: String(error) });
    });
  }

  async #investigate(
    target: declarations.TargetEntry,
    fingerprint: model.RequestFingerprint,
  ): Promise<void> {
    const finding = await this.#checks.check(target);
    this.#breakCounter.inc({ finding });
    if (finding === "ended") {
      this.#logger.write(kernel.LogMessages.targetEnded, {
        target: target.id,
        startedAt: target.startedAt ?? 0,
        fingerprint,
      });
    }
  }
}
