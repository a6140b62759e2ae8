/**
 * Reads the rates that targets state in their responses and publishes each change to all VMs.
 */

import type * as declarations from "@hemlockwalk/declarations";
import * as kernel from "@hemlockwalk/kernel";
import * as placement from "@hemlockwalk/placement";
import type * as publishers from "./publisher.ts";
import type * as calls from "./target_call.ts";

/** Reads what the responses to this VM state. */
export class RateStatements {
  readonly #publisher: publishers.Publisher;
  readonly #logger: kernel.ComponentLogger;

  constructor(publisher: publishers.Publisher, logger: kernel.ComponentLogger) {
    this.#publisher = publisher;
    this.#logger = logger;
  }

  /** Records what a response states. A text that states no rate is logged and ignored. */
  record(target: declarations.TargetEntry, notice: calls.TargetNotice): void {
    const known = this.#publisher.directory.findStatement(target)?.requestsPerSecond;
    if (notice.rateLimit === undefined) {
      // Something else on the path may have rejected the request, so that only a response of the
      // target's own ends its limit.
      if (known !== undefined && notice.isSigned) {
        this.#publisher.publishRate(target, undefined);
      }
      return;
    }
    const stated = placement.parseRate(notice.rateLimit);
    if (stated === undefined) {
      this.#logger.write(kernel.LogMessages.targetRateInvalid, {
        target: target.id,
        stated: notice.rateLimit,
      });
    } else if (stated !== known) {
      this.#publisher.publishRate(target, stated);
    }
  }
}
