/**
 * The health check of a target over HTTP.
 */

import type * as model from "@hemlockwalk/model";
import * as undici from "undici";
import type * as types from "./types.ts";

const PROBE_TIMEOUT_MILLISECONDS = 1_000;

/** A response with this status or a higher one is a failed probe. */
const FIRST_ERROR_STATUS = 500;

/** Sends a HEAD request to a fixed path. Any status below 500 means that the target is healthy. */
export class HttpProbe implements types.Probe {
  readonly #path: string;

  constructor(path = "/") {
    this.#path = path;
  }

  async check(target: model.Target, signal: AbortSignal): Promise<boolean> {
    try {
      const answer = await undici.request(`http://${target.address}${this.#path}`, {
        method: "HEAD",
        reset: true,
        signal: AbortSignal.any([signal, AbortSignal.timeout(PROBE_TIMEOUT_MILLISECONDS)]),
      });
      await answer.body.dump();
      return answer.statusCode < FIRST_ERROR_STATUS;
    } catch {
      return false;
    }
  }
}
