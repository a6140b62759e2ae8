/**
 * Streams a target's response to the caller.
 */

import type * as http from "node:http";
import process from "node:process";
import type * as claims from "@hemlockwalk/claims";
import * as kernel from "@hemlockwalk/kernel";
import * as headers from "./headers.ts";

/** Largest response that is stored for a caller's repeat. */
const MAXIMUM_RECORDED_BYTES = 64 * 1_024;

/** A body up to this size that arrives in one chunk is written together with the headers. */
const MAXIMUM_SINGLE_WRITE_BYTES = 16 * 1_024;

/** A copy of a target's response, or of its beginning, that has not gone to the caller. */
export class WithheldAnswer {
  readonly status: number;
  readonly statusText: string;
  readonly rawHeaders: readonly Buffer[];
  readonly chunks: Buffer[] = [];
  rawTrailers: readonly string[] = [];
  #bytes = 0;
  /** Whether the response has ended. */
  isComplete = false;

  constructor(status: number, statusText: string, rawHeaders: readonly Buffer[]) {
    this.status = status;
    this.statusText = statusText;
    // The HTTP client owns the buffers and may reuse them.
    this.rawHeaders = rawHeaders.map((part) => Buffer.from(part));
  }

  /** Size of the part of the body that is in memory. */
  get bytes(): number {
    return this.#bytes;
  }

  write(chunk: Buffer): void {
    this.chunks.push(Buffer.from(chunk));
    this.#bytes += chunk.length;
  }

  finish(rawTrailers: readonly string[]): void {
    this.rawTrailers = rawTrailers;
    this.isComplete = true;
  }
}

/** Streams one response to the caller and can record a copy. */
export class CallerAnswer {
  readonly #response: http.ServerResponse;
  readonly #isClosing: () => boolean;
  #recorder: AnswerRecorder | undefined;
  #hasTrailers = false;
  #resume: () => void = () => {};
  #wroteBody = false;
  /** The response's content length; undefined for a chunked body. */
  #contentLength: number | undefined;
  #hasBegun = false;

  /**
   * @param response The response to the caller.
   * @param isClosing Whether to close the connection after the response.
   */
  constructor(response: http.ServerResponse, isClosing: () => boolean) {
    this.#response = response;
    this.#isClosing = isClosing;
  }

  /** Records a copy of the response; called before it begins. */
  record(): void {
    this.#recorder = new AnswerRecorder();
  }

  /** The recorded response; undefined if it is incomplete, too large or was not recorded. */
  getRecorded(): claims.StoredAnswer | undefined {
    return this.#recorder?.getAnswer();
  }

  /** Whether bytes of the response may have gone to the caller. */
  get hasBegun(): boolean {
    return this.#hasBegun;
  }

  /**
   * Whether the response may only be sent as a whole, by `pass`. Callers of HTTP/1.0 do not know
   * chunks: the close of the connection would delimit a response of unknown length, and also comes
   * where the response is cut.
   */
  mustBeWhole(status: number, rawHeaders: readonly Buffer[]): boolean {
    return this.#response.req.httpVersion === "1.0" && this.#hasBody(status) &&
      headers.findAnswerHeader(rawHeaders, "content-length") === undefined;
  }

  #hasBody(status: number): boolean {
    return this.#response.req.method !== "HEAD" && status !== 204 && status !== 304;
  }

  /**
   * Sends status and headers.
   *
   * @param resume Called when the caller's connection can accept more data after `write` was false.
   */
  begin(
    status: number,
    statusText: string,
    rawHeaders: readonly Buffer[],
    resume: () => void,
  ): void {
    // Several attempts may run, and only the one that has won may respond.
    kernel.assert(!this.#hasBegun, "A response begins once.");
    this.#writeHead(status, statusText, rawHeaders);
    this.#resume = resume;
    // Waits one tick so that a short body goes out in the same write as the headers.
    process.nextTick(() => {
      if (!this.#wroteBody) {
        this.#response.flushHeaders();
      }
    });
  }

  #writeHead(
    status: number,
    statusText: string,
    rawHeaders: readonly Buffer[],
    length?: number,
  ): void {
    const kept = headers.createAnswerHeaders(rawHeaders);
    this.#recorder?.begin(status, kept);
    if (length !== undefined) {
      kept.push("content-length", String(length));
    }
    const lengthIndex = kept.indexOf("content-length");
    this.#contentLength = lengthIndex === -1 ? undefined : Number(kept[lengthIndex + 1]);
    if (this.#contentLength === undefined && this.#hasBody(status)) {
      this.#hasTrailers = kept.includes("trailer");
    } else {
      removeTrailerFields(kept);
    }
    const response = this.#response;
    if (this.#isClosing() || !response.shouldKeepAlive) {
      kept.push("connection", "close");
    }
    this.#hasBegun = true;
    response.writeHead(status, createReasonPhrase(statusText), kept);
  }

  /**
   * Sends a chunk of the body.
   *
   * @returns False if the caller must drain its connection before the next one.
   */
  write(chunk: Buffer): boolean {
    const isFirst = !this.#wroteBody;
    this.#wroteBody = true;
    this.#recorder?.write(chunk);
    if (
      isFirst && chunk.length === this.#contentLength && chunk.length <= MAXIMUM_SINGLE_WRITE_BYTES
    ) {
      // Writing headers and body as one string costs half as much as writing two buffers.
      this.#response.end(chunk.toString("latin1"), "latin1");
      return true;
    }
    const takesMore = this.#response.write(chunk);
    if (!takesMore) {
      this.#response.once("drain", this.#resume);
    }
    return takesMore;
  }

  /** Ends a complete response. */
  finish(rawTrailers: readonly (string | Buffer)[]): void {
    this.#wroteBody = true;
    this.#recorder?.finish();
    if (this.#response.writableEnded) {
      return;
    }
    if (this.#hasTrailers && rawTrailers.length > 0) {
      const trailers = headers.createAnswerTrailers(rawTrailers);
      this.#response.addTrailers(trailers as unknown as http.OutgoingHttpHeaders);
    }
    this.#response.end();
  }

  /** Sends a whole response that was withheld. */
  pass(withheld: WithheldAnswer): void {
    kernel.assert(!this.#hasBegun, "A response begins once.");
    const { status, statusText, rawHeaders } = withheld;
    const length = this.mustBeWhole(status, rawHeaders) ? withheld.bytes : undefined;
    this.#writeHead(status, statusText, rawHeaders, length);
    this.#writeWithheld(withheld);
    this.finish(withheld.rawTrailers);
  }

  /**
   * Sends the beginning of a response that was withheld.
   *
   * @param resume Called when the caller's connection can accept more data after the result false.
   * @returns Whether the rest can follow at once.
   */
  beginWithheld(withheld: WithheldAnswer, resume: () => void): boolean {
    this.begin(withheld.status, withheld.statusText, withheld.rawHeaders, resume);
    return this.#writeWithheld(withheld);
  }

  #writeWithheld({ chunks, bytes }: WithheldAnswer): boolean {
    return bytes === 0 || this.write(Buffer.concat(chunks));
  }

  /** Sends a stored response. */
  replay(answer: claims.StoredAnswer): void {
    const kept = [...answer.headers];
    removeTrailerFields(kept);
    if (!kept.includes("content-length") && answer.status !== 204 && answer.status !== 304) {
      kept.push("content-length", String(answer.body.length));
    }
    if (this.#isClosing()) {
      kept.push("connection", "close");
    }
    this.#hasBegun = true;
    this.#response.writeHead(answer.status, kept);
    this.#response.end(answer.body);
  }

  /**
   * Aborts an incomplete response so that the caller can detect it. The connection is reset, since
   * an orderly close could look like the end of a response that is delimited by the close.
   */
  abort(): void {
    const { socket } = this.#response;
    if (socket !== null && "encrypted" in socket === false) {
      socket.resetAndDestroy();
      return;
    }
    this.#response.destroy();
  }
}

/**
 * The reason phrase as Node.js accepts it; it throws for other characters. The HTTP client decodes
 * the bytes as UTF-8, and a head is written as Latin-1.
 */
function createReasonPhrase(statusText: string): string {
  return /^[ -~]*$/.test(statusText)
    ? statusText
    : Buffer.from(statusText).toString("latin1").replace(/[^\t -~\x80-\xff]/g, " ");
}

/** Only chunks carry trailers. Node.js throws if they are announced in other responses. */
function removeTrailerFields(kept: string[]): void {
  for (let index = kept.length - 2; index >= 0; index -= 2) {
    if (kept[index] === "trailer") {
      kept.splice(index, 2);
    }
  }
}

/** Records a response up to a size limit. */
class AnswerRecorder {
  #status = 0;
  #headers: readonly string[] = [];
  #chunks: Buffer[] | undefined = [];
  #size = 0;
  #complete = false;

  begin(status: number, kept: readonly string[]): void {
    this.#status = status;
    this.#headers = [...kept];
  }

  write(chunk: Buffer): void {
    this.#size += chunk.length;
    if (this.#size > MAXIMUM_RECORDED_BYTES) {
      this.#chunks = undefined;
    }
    // The HTTP client owns the buffer and may reuse it.
    this.#chunks?.push(Buffer.from(chunk));
  }

  finish(): void {
    this.#complete = true;
  }

  getAnswer(): claims.StoredAnswer | undefined {
    if (!this.#complete || this.#chunks === undefined) {
      return undefined;
    }
    return { status: this.#status, headers: this.#headers, body: Buffer.concat(this.#chunks) };
  }
}
