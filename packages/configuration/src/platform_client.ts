/**
 * Client of the platform, which reads and watches values but never writes them.
 */

import * as neverthrow from "neverthrow";
import * as undici from "undici";
import type * as errors from "./errors.ts";
import type * as types from "./types.ts";

const CONNECT_TIMEOUT_MILLISECONDS = 2_000;

/** Added to the requested wait of a watch to compute the client's timeout. */
const WATCH_MARGIN_MILLISECONDS = 1_000;

const VERSION_HEADER = "value-version";

/** Reads and watches the platform's values over HTTP, using its addresses in turn. */
export class PlatformClient implements types.PlatformReader {
  readonly #addresses: readonly string[];
  readonly #agent = new undici.Agent({ connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS } });
  #nextAddress: number;

  constructor(addresses: readonly string[]) {
    this.#addresses = addresses;
    // VMs start at random addresses, so that they do not all call the same replica.
    this.#nextAddress = Math.floor(Math.random() * addresses.length);
  }

  get(
    key: string,
    timeoutMilliseconds: number,
    signal?: AbortSignal,
  ): Promise<neverthrow.Result<types.PlatformValue, errors.PlatformError>> {
    return this.#request(`/v1/values/${key}`, timeoutMilliseconds, signal);
  }

  watch(
    key: string,
    afterVersion: number,
    waitMilliseconds: number,
    signal?: AbortSignal,
  ): Promise<neverthrow.Result<types.PlatformValue, errors.PlatformError>> {
    const path = `/v1/values/${key}?after=${afterVersion}&wait=${waitMilliseconds}`;
    return this.#request(path, waitMilliseconds + WATCH_MARGIN_MILLISECONDS, signal);
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #request(
    path: string,
    timeoutMilliseconds: number,
    signal: AbortSignal | undefined,
  ): Promise<neverthrow.Result<types.PlatformValue, errors.PlatformError>> {
    const controller = new AbortController();
    const abort = () => controller.abort();
    const timer = setTimeout(abort, timeoutMilliseconds);
    signal?.addEventListener("abort", abort, { once: true });
    if (signal?.aborted) {
      abort();
    }
    try {
      const response = await undici.request(this.#getNextAddress() + path, {
        dispatcher: this.#agent,
        signal: controller.signal,
      });
      const text = await response.body.text();
      return parseResponse(response.statusCode, response.headers[VERSION_HEADER], text);
    } catch (error) {
      return neverthrow.err({ kind: "unreachable", detail: String(error) });
    } finally {
      // The signal outlives the call, so a listener that stays on it would leak memory.
      clearTimeout(timer);
      signal?.removeEventListener("abort", abort);
    }
  }

  #getNextAddress(): string {
    const address = this.#addresses[this.#nextAddress % this.#addresses.length] ?? "";
    this.#nextAddress++;
    return address.replace(/\/$/, "");
  }
}

function parseResponse(
  status: number,
  versionHeader: string | string[] | undefined,
  text: string,
): neverthrow.Result<types.PlatformValue, errors.PlatformError> {
  if (status === 204 || status === 404) {
    return neverthrow.err({ kind: "absent", detail: `status ${status}` });
  }
  if (status === 429) {
    return neverthrow.err({ kind: "over_rate", detail: "status 429" });
  }
  if (status !== 200) {
    return neverthrow.err({ kind: "refused", detail: `status ${status}` });
  }
  const version = Number(versionHeader);
  if (!Number.isSafeInteger(version)) {
    return neverthrow.err({ kind: "malformed", detail: "no version" });
  }
  return neverthrow.ok({ version, text });
}
