/**
 * Probes a target over HTTP.
 */

import type * as model from "@hemlockwalk/model";
import * as undici from "undici";
import type * as types from "./types.ts";

const PROBE_TIMEOUT_MILLISECONDS = 1_000;

/** Statuses from here on say that the target is not well. */
const FIRST_ERROR_STATUS = 500;

/** Asks for the head of a fixed path. Any answer below status 500 is taken as well. */
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
