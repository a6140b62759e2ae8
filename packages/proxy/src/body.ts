/**
 * The body of a request: short ones are held, so that a request can be sent again; the rest of a
 * long one is streamed to the first target.
 */

import type * as http from "node:http";

/** Bodies up to this size are held. */
const HELD_BODY_BYTES = 262_144;

/** A body that is held, or whose beginning is. */
export class RequestBody {
  readonly #chunks: readonly Buffer[];
  readonly #rest: http.IncomingMessage | undefined;
  readonly #statedLength: number | undefined;
  #isSent = false;
  /** Aborted once a body of unknown length has grown beyond the limit. */
  readonly tooLarge: AbortSignal | undefined;

  /** @param rest What is still to come of a long body, with `tooLarge` to watch it. */
  constructor(
    chunks: readonly Buffer[],
    statedLength: number | undefined,
    rest?: http.IncomingMessage,
    tooLarge?: AbortSignal,
  ) {
    this.#chunks = chunks;
    this.#statedLength = statedLength;
    this.#rest = rest;
    this.tooLarge = tooLarge;
  }

  /** Whether it can be sent more than once. */
  get isHeld(): boolean {
    return this.#rest === undefined;
  }

  /** Whether all of it was handed to the connection of the latest attempt. */
  get isSent(): boolean {
    return this.#isSent;
  }

  /** Length in bytes; undefined for none, or for a long one of unknown length. */
  get length(): number | undefined {
    if (this.#rest !== undefined) {
      return this.#statedLength;
    }
    const bytes = this.#chunks.reduce((sum, chunk) => sum + chunk.length, 0);
    return bytes > 0 || this.#statedLength !== undefined ? bytes : undefined;
  }

  sendTo(outgoing: http.ClientRequest): void {
    this.#isSent = false;
    for (const chunk of this.#chunks) {
      outgoing.write(chunk);
    }
    if (this.#rest === undefined) {
      outgoing.end();
      this.#isSent = true;
      return;
    }
    const rest = this.#rest;
    rest.once("end", () => {
      this.#isSent = true;
    });
    this.tooLarge?.addEventListener("abort", () => rest.unpipe(outgoing), { once: true });
    rest.pipe(outgoing);
  }
}

/** What came of reading a body. */
export type BodyResult =
  | { readonly kind: "read"; readonly body: RequestBody }
  | { readonly kind: "too_large" }
  | { readonly kind: "broken_off" };

/** Reads a body until its end or until it is too long to be held. */
export function readBody(request: http.IncomingMessage, limitBytes: number): Promise<BodyResult> {
  const statedLength = request.headers["content-length"] === undefined
    ? undefined
    : Number(request.headers["content-length"]);
  if (statedLength !== undefined && statedLength > limitBytes) {
    return Promise.resolve({ kind: "too_large" });
  }
  const hasBody = statedLength !== undefined || request.headers["transfer-encoding"] !== undefined;
  if (!hasBody) {
    request.resume();
    return Promise.resolve({ kind: "read", body: new RequestBody([], undefined) });
  }
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const settle = (result: BodyResult) => {
      request.off("data", onData);
      request.off("end", onEnd);
      request.off("close", onClose);
      resolve(result);
    };
    const onData = (chunk: Buffer) => {
      chunks.push(chunk);
      bytes += chunk.length;
      if (bytes > limitBytes) {
        settle({ kind: "too_large" });
      } else if (bytes > HELD_BODY_BYTES) {
        request.pause();
        const tooLarge = watchLength(request, limitBytes - bytes);
        settle({ kind: "read", body: new RequestBody(chunks, statedLength, request, tooLarge) });
      }
    };
    const onEnd = () => settle({ kind: "read", body: new RequestBody(chunks, statedLength) });
    const onClose = () => settle({ kind: "broken_off" });
    request.on("data", onData);
    request.once("end", onEnd);
    request.once("close", onClose);
  });
}

/** Watches the rest of a body; the signal is aborted once it is longer than allowed. */
function watchLength(rest: http.IncomingMessage, allowedBytes: number): AbortSignal {
  const tooLarge = new AbortController();
  let bytes = 0;
  const onData = (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > allowedBytes) {
      rest.off("data", onData);
      tooLarge.abort();
      // What follows is read and dropped, so that the caller gets to read its answer.
      rest.resume();
    }
  };
  // Does not start the stream, which was paused before and flows once it is piped.
  rest.on("data", onData);
  return tooLarge.signal;
}
