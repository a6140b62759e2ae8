/**
 * The body of a request. Short bodies are buffered, so that the request can be sent again; the rest
 * of a long body is streamed to the first target.
 */

import type * as crypto from "node:crypto";
import type * as http from "node:http";
import * as kernel from "@hemlockwalk/kernel";

/** Bodies up to this size are buffered. */
const MAX_BUFFERED_BODY_BYTES = 262_144;

/** A body that is buffered completely, or whose beginning is. */
export class RequestBody {
  readonly #chunks: readonly Buffer[];
  readonly #rest: http.IncomingMessage | undefined;
  readonly #contentLength: number | undefined;
  /** Aborted once a body of unknown length exceeds the limit. */
  readonly tooLarge: AbortSignal | undefined;

  /**
   * @param rest The unread rest of a long body. `tooLarge` is aborted when it exceeds the limit.
   */
  constructor(
    chunks: readonly Buffer[],
    contentLength: number | undefined,
    rest?: http.IncomingMessage,
    tooLarge?: AbortSignal,
  ) {
    this.#chunks = chunks;
    this.#contentLength = contentLength;
    this.#rest = rest;
    this.tooLarge = tooLarge;
  }

  /** Whether the body can be sent more than once. */
  get isBuffered(): boolean {
    return this.#rest === undefined;
  }

  /** Length in bytes; undefined without a body, or for a long one of unknown length. */
  get length(): number | undefined {
    if (this.#rest !== undefined) {
      return this.#contentLength;
    }
    const bytes = this.#chunks.reduce((sum, chunk) => sum + chunk.length, 0);
    return bytes > 0 || this.#contentLength !== undefined ? bytes : undefined;
  }

  /**
   * The headers that delimit the body, as names and values in turn. Stated for every method, since
   * the runtime frames a body of unknown length only for some of them.
   */
  createFramingHeaders(): readonly string[] {
    const { length } = this;
    if (length !== undefined) {
      return ["Content-Length", String(length)];
    }
    return this.isBuffered ? [] : ["Transfer-Encoding", "chunked"];
  }

  /** Adds the body to a hash; of a long one, as much as is always buffered. */
  updateHash(hash: crypto.Hash): void {
    let left = MAX_BUFFERED_BODY_BYTES;
    for (const chunk of this.#chunks) {
      hash.update(chunk.subarray(0, left));
      left -= Math.min(left, chunk.length);
    }
  }

  /**
   * Writes the body to a request.
   *
   * @param onBroken Called if the caller breaks the body off, so that it can never be complete.
   */
  sendTo(outgoing: http.ClientRequest, onBroken: () => void): BodyTransfer {
    for (const chunk of this.#chunks) {
      outgoing.write(chunk);
    }
    if (this.#rest === undefined) {
      outgoing.end();
      return { isComplete: true, stop: () => undefined };
    }
    return new StreamedTransfer(this.#rest, outgoing, this.tooLarge, onBroken);
  }
}

/** The body of one attempt on its way to a target. */
export interface BodyTransfer {
  /** Whether the complete body was handed over to the connection. */
  readonly isComplete: boolean;
  /** Sends no more of it, and leaves the rest unread. */
  stop(): void;
}

class StreamedTransfer implements BodyTransfer {
  readonly #rest: http.IncomingMessage;
  readonly #outgoing: http.ClientRequest;
  readonly #onBroken: () => void;
  #isComplete = false;

  constructor(
    rest: http.IncomingMessage,
    outgoing: http.ClientRequest,
    tooLarge: AbortSignal | undefined,
    onBroken: () => void,
  ) {
    this.#rest = rest;
    this.#outgoing = outgoing;
    this.#onBroken = onBroken;
    if (rest.destroyed) {
      onBroken();
      return;
    }
    rest.once("end", this.#onEnd);
    rest.once("close", this.#onClose);
    // The caller's side reads and drops the rest once the request has its response.
    outgoing.once("unpipe", this.#onClose);
    tooLarge?.addEventListener("abort", () => this.stop(), { once: true });
    // The end is written only after a complete body.
    rest.pipe(outgoing, { end: false });
  }

  get isComplete(): boolean {
    return this.#isComplete;
  }

  stop(): void {
    this.#rest.off("end", this.#onEnd);
    this.#rest.off("close", this.#onClose);
    this.#outgoing.off("unpipe", this.#onClose);
    this.#rest.unpipe(this.#outgoing);
  }

  readonly #onEnd = (): void => {
    if (!kernel.hasFieldNames(this.#rest.rawTrailers)) {
      this.#onClose();
      return;
    }
    this.#rest.off("close", this.#onClose);
    this.#outgoing.off("unpipe", this.#onClose);
    this.#isComplete = true;
    this.#outgoing.end();
  };

  readonly #onClose = (): void => {
    this.stop();
    this.#onBroken();
  };
}

/** Result of reading a body. */
export type BodyResult =
  | { readonly kind: "read"; readonly body: RequestBody }
  | { readonly kind: "too_large" }
  | { readonly kind: "aborted" };

/** Reads a body until its end or until it is too long to be buffered. */
export function readBody(request: http.IncomingMessage, limitBytes: number): Promise<BodyResult> {
  const contentLength = request.headers["content-length"] === undefined
    ? undefined
    : Number(request.headers["content-length"]);
  if (contentLength !== undefined && contentLength > limitBytes) {
    return Promise.resolve({ kind: "too_large" });
  }
  const hasBody = contentLength !== undefined || request.headers["transfer-encoding"] !== undefined;
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
      } else if (bytes > MAX_BUFFERED_BODY_BYTES) {
        request.pause();
        const tooLarge = watchLength(request, limitBytes - bytes);
        settle({ kind: "read", body: new RequestBody(chunks, contentLength, request, tooLarge) });
      }
    };
    const onEnd = () => settle({ kind: "read", body: new RequestBody(chunks, contentLength) });
    const onClose = () => settle({ kind: "aborted" });
    request.on("data", onData);
    request.once("end", onEnd);
    request.once("close", onClose);
  });
}

/** Returns a signal that is aborted once the rest of a body is longer than allowed. */
function watchLength(rest: http.IncomingMessage, allowedBytes: number): AbortSignal {
  const tooLarge = new AbortController();
  let bytes = 0;
  const onData = (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > allowedBytes) {
      rest.off("data", onData);
      tooLarge.abort();
      // The remaining bytes are read and dropped, so that the caller gets to read its response.
      rest.resume();
    }
  };
  // This listener does not start the stream, which was paused before; it flows once it is piped.
  rest.on("data", onData);
  return tooLarge.signal;
}
