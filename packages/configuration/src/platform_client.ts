/**
 * Client of the platform's service: values are read and watched, never written.
 */

import * as neverthrow from "neverthrow";
import * as undici from "undici";
import type * as errors from "./errors.ts";
import type * as types from "./types.ts";

const CONNECT_TIMEOUT_MILLISECONDS = 2_000;

/** How much longer than the requested wait the client lets a watch last. */
const WATCH_MARGIN_MILLISECONDS = 1_000;

const VERSION_HEADER = "value-version";

/** Reads and watches the platform's values over HTTP, taking its addresses in turn. */
export class PlatformClient implements types.PlatformReader {
  readonly #addresses: readonly string[];
  readonly #agent = new undici.Agent({ connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS } });
  #next: number;

  constructor(addresses: readonly string[]) {
    this.#addresses = addresses;
    // VMs begin with different addresses, so that not all ask the same replica.
    this.#next = Math.floor(Math.random() * addresses.length);
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
      const response = await undici.request(this.#takeAddress() + path, {
        dispatcher: this.#agent,
        signal: controller.signal,
      });
      const text = await response.body.text();
      return readAnswer(response.statusCode, response.headers[VERSION_HEADER], text);
    } catch (error) {
      return neverthrow.err({ kind: "unreachable", detail: String(error) });
    } finally {
      // The signal lives as long as the VM, so it must not keep what belongs to one call.
      clearTimeout(timer);
      signal?.removeEventListener("abort", abort);
    }
  }

  #takeAddress(): string {
    const address = this.#addresses[this.#next % this.#addresses.length] ?? "";
    this.#next++;
    return address.replace(/\/$/, "");
  }
}

function readAnswer(
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
