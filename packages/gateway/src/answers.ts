/**
 * The answer of a target on its way to the caller.
 */

import type * as http from "node:http";
import type * as claims from "@hemlockwalk/claims";
import * as headers from "./headers.ts";

/** Largest answer that is kept for a caller's repeat. */
const MAXIMUM_KEPT_BYTES = 64 * 1_024;

/** An answer up to this size that comes in one piece is sent together with its head. */
const MAXIMUM_JOINED_BYTES = 16 * 1_024;

/** Streams one answer to the caller and, on request, keeps a copy. */
export class CallerAnswer {
  readonly #response: http.ServerResponse;
  readonly #isClosing: () => boolean;
  #recorder: AnswerRecorder | undefined;
  #hasTrailers = false;
  #resume: () => void = () => {};
  #wroteBody = false;
  /** Bytes that the answer's head announces; undefined when it comes in chunks. */
  #announcedBytes: number | undefined;

  /**
   * @param response Where the answer goes.
   * @param isClosing Whether the connection is to end after the answer.
   */
  constructor(response: http.ServerResponse, isClosing: () => boolean) {
    this.#response = response;
    this.#isClosing = isClosing;
  }

  /** Keeps a copy of the answer from now on. */
  record(): void {
    this.#recorder = new AnswerRecorder();
  }

  /** The copy of a complete answer; undefined when it was too large or not asked for. */
  getRecorded(): claims.StoredAnswer | undefined {
    return this.#recorder?.getAnswer();
  }

  /**
   * Sends the head.
   *
   * @param resume Called when the caller has taken what was written, so that more may come.
   */
  begin(
    status: number,
    statusText: string,
    rawHeaders: readonly Buffer[],
    resume: () => void,
  ): void {
    const kept = headers.createAnswerHeaders(rawHeaders);
    this.#recorder?.begin(status, kept);
    this.#hasTrailers = kept.includes("trailer");
    const lengthIndex = kept.indexOf("content-length");
    this.#announcedBytes = lengthIndex === -1 ? undefined : Number(kept[lengthIndex + 1]);
    const response = this.#response;
    if (this.#isClosing() || !response.shouldKeepAlive) {
      kept.push("connection", "close");
    }
    response.writeHead(status, statusText, kept);
    this.#resume = resume;
    // A short answer goes out together with its head; a head whose body is late goes out alone.
    process.nextTick(() => {
      if (!this.#wroteBody) {
        response.flushHeaders();
      }
    });
  }

  /** Sends a part of the body; false when the caller takes no more for now. */
  write(chunk: Buffer): boolean {
    const isFirst = !this.#wroteBody;
    this.#wroteBody = true;
    this.#recorder?.write(chunk);
    if (isFirst && chunk.length === this.#announcedBytes && chunk.length <= MAXIMUM_JOINED_BYTES) {
      // Head and body leave in one write of a string, which costs half of a write of two buffers.
      this.#response.end(chunk.toString("latin1"), "latin1");
      return true;
    }
    const takesMore = this.#response.write(chunk);
    if (!takesMore) {
      this.#response.once("drain", this.#resume);
    }
    return takesMore;
  }

  /** Ends the answer, which is complete. */
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

  /** Sends a kept answer again. */
  replay(answer: claims.StoredAnswer): void {
    const kept = [...answer.headers];
    if (this.#isClosing()) {
      kept.push("connection", "close");
    }
    this.#response.writeHead(answer.status, kept);
    this.#response.end(answer.body);
  }

  /**
   * Ends an answer that is not complete, so that the caller can tell. A plain close would look like
   * the end of an answer that is delimited by it, so the connection is reset.
   */
  cut(): void {
    const { socket } = this.#response;
    if (socket !== null && "encrypted" in socket === false) {
      socket.resetAndDestroy();
      return;
    }
    this.#response.destroy();
  }
}

/** Collects an answer up to a bound. */
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
    if (this.#size > MAXIMUM_KEPT_BYTES) {
      this.#chunks = undefined;
    }
    // The buffer belongs to the HTTP client, which may use it again.
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
