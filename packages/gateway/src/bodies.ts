/**
 * The body of a caller's request. It is buffered up to a limit before a slot on a target is
 * acquired, so that a slow caller does not occupy a slot and a retry can send a short body again.
 * The rest of a longer body is streamed.
 */

import type * as http from "node:http";
import * as streams from "node:stream";
import * as neverthrow from "neverthrow";
import * as refusals from "./refusals.ts";
import type * as running from "./running_requests.ts";
import type * as types from "./types.ts";

/** Bytes of a body that are buffered; the rest is streamed. */
export const BUFFERED_BODY_BYTES = 64 * 1_024;

/** Limit for the buffered bodies of all requests of a VM. */
const TOTAL_BUFFERED_BYTES = 32 * 1_024 * 1_024;

const RETRY_AFTER_MILLISECONDS = 1_000;

/** The error of a body that can't be completed; its stream must not end normally. */
export class BodyError extends Error {
  override readonly name = "BodyError";
  readonly refusal: refusals.RefusalRow;

  constructor(refusal: refusals.RefusalRow) {
    super(refusal.title);
    this.refusal = refusal;
  }
}

/** Memory used by the buffered bodies of all requests of a VM. */
export class BodyMemory {
  #usedBytes = 0;

  tryReserve(bytes: number): boolean {
    if (this.#usedBytes + bytes > TOTAL_BUFFERED_BYTES) {
      return false;
    }
    this.#usedBytes += bytes;
    return true;
  }

  free(bytes: number): void {
    this.#usedBytes -= bytes;
  }
}

/** The body of one request. */
export class RequestBody {
  readonly #request: http.IncomingMessage;
  readonly #memory: BodyMemory;
  readonly #limitBytes: number;
  readonly #idleMilliseconds: number;
  #chunks: Buffer[] = [];
  #receivedBytes = 0;
  #bufferedBytes = 0;
  #complete: boolean;
  #streamed = false;

  constructor(
    request: http.IncomingMessage,
    accepted: types.AcceptedRequest,
    memory: BodyMemory,
    idleMilliseconds: number,
  ) {
    this.#request = request;
    this.#memory = memory;
    this.#limitBytes = accepted.bodyLimitBytes;
    this.#idleMilliseconds = idleMilliseconds;
    this.#complete = accepted.head.contentLength === 0;
  }

  /** Whether the whole body is in memory. */
  get isComplete(): boolean {
    return this.#complete;
  }

  /** Whether the body can be sent again from its start. */
  get isReplayable(): boolean {
    return !this.#streamed;
  }

  /** The buffered part. */
  get chunks(): readonly Buffer[] {
    return this.#chunks;
  }

  /** Reads until the body ends or the buffer limit is reached. A refused request has not run. */
  buffer(
    runningRequest: running.RunningRequest,
  ): Promise<neverthrow.Result<void, refusals.Refusal>> {
    const request = this.#request;
    return new Promise((resolve) => {
      const idleTimer = setTimeout(
        () => finish(refusals.Refusals.requestTooSlow),
        this.#idleMilliseconds,
      );
      const finish = (refusal?: refusals.RefusalRow) => {
        clearTimeout(idleTimer);
        request.off("data", onData);
        request.off("end", onEnd);
        request.pause();
        runningRequest.onEnd(undefined);
        resolve(
          refusal === undefined
            ? neverthrow.ok()
            : neverthrow.err(refusals.createNotRunRefusal(refusal, getRetryAfter(refusal))),
        );
      };
      const onData = (chunk: Buffer) => {
        idleTimer.refresh();
        const refusal = this.#append(chunk);
        if (refusal !== undefined || this.#bufferedBytes >= BUFFERED_BODY_BYTES) {
          finish(refusal);
        }
      };
      const onEnd = () => {
        this.#complete = true;
        finish();
      };
      // The end reason decides which refusal is sent; this one is ignored.
      runningRequest.onEnd(() => finish(refusals.Refusals.requestTooSlow));
      request.on("data", onData);
      request.on("end", onEnd);
      request.resume();
    });
  }

  /** The body for one attempt, from its start. */
  createAttemptBody(): Buffer | streams.Readable | null {
    if (!this.#complete) {
      return this.#createStream();
    }
    if (this.#chunks.length === 1) {
      return this.#chunks[0] ?? null;
    }
    return this.#chunks.length === 0 ? null : Buffer.concat(this.#chunks);
  }

  /** Frees the buffered part. */
  release(): void {
    this.#memory.free(this.#bufferedBytes);
    this.#bufferedBytes = 0;
    this.#chunks = [];
  }

  #append(chunk: Buffer): refusals.RefusalRow | undefined {
    this.#receivedBytes += chunk.length;
    if (this.#receivedBytes > this.#limitBytes) {
      return refusals.Refusals.bodyTooLarge;
    }
    if (!this.#memory.tryReserve(chunk.length)) {
      return refusals.Refusals.bodyMemoryFull;
    }
    this.#bufferedBytes += chunk.length;
    this.#chunks.push(chunk);
    return undefined;
  }

  #createStream(): streams.Readable {
    let source: BodySource | undefined;
    const stream: streams.Readable = new streams.Readable({
      read: () => {
        // The rest of the body can be read only once, so from here on the request is not retried.
        this.#streamed = true;
        source ??= this.#openSource(stream);
        source.resume();
      },
      destroy: (error, callback) => {
        source?.close();
        callback(error);
      },
    });
    return stream;
  }

  #openSource(stream: streams.Readable): BodySource {
    for (const chunk of this.#chunks) {
      stream.push(chunk);
    }
    const accept = (chunk: Buffer) => {
      this.#receivedBytes += chunk.length;
      return this.#receivedBytes <= this.#limitBytes;
    };
    return new BodySource(this.#request, stream, accept, this.#idleMilliseconds);
  }
}

/** Copies the rest of a body from the caller's request into a stream, with back-pressure. */
class BodySource {
  readonly #request: http.IncomingMessage;
  readonly #stream: streams.Readable;
  readonly #accept: (chunk: Buffer) => boolean;
  readonly #idleMilliseconds: number;
  #idleTimer: NodeJS.Timeout | undefined;

  constructor(
    request: http.IncomingMessage,
    stream: streams.Readable,
    accept: (chunk: Buffer) => boolean,
    idleMilliseconds: number,
  ) {
    this.#request = request;
    this.#stream = stream;
    this.#accept = accept;
    this.#idleMilliseconds = idleMilliseconds;
    request.on("data", this.#onData);
    request.once("end", this.#onEnd);
    request.once("close", this.#onClose);
  }

  /** Reads more data for the stream. The caller's idle timeout runs only while this is wanted. */
  resume(): void {
    this.#startIdleTimer();
    this.#request.resume();
  }

  close(): void {
    clearTimeout(this.#idleTimer);
    this.#request.off("data", this.#onData);
    this.#request.off("end", this.#onEnd);
    this.#request.off("close", this.#onClose);
  }

  #startIdleTimer(): void {
    clearTimeout(this.#idleTimer);
    this.#idleTimer = setTimeout(
      () => this.#stream.destroy(new BodyError(refusals.Refusals.requestTooSlow)),
      this.#idleMilliseconds,
    );
  }

  readonly #onData = (chunk: Buffer) => {
    this.#startIdleTimer();
    if (!this.#accept(chunk)) {
      this.#stream.destroy(new BodyError(refusals.Refusals.bodyTooLarge));
    } else if (!this.#stream.push(chunk)) {
      clearTimeout(this.#idleTimer);
      this.#request.pause();
    }
  };

  readonly #onEnd = () => {
    this.close();
    this.#stream.push(null);
  };

  readonly #onClose = () => {
    if (!this.#request.complete) {
      this.#stream.destroy(new BodyError(refusals.Refusals.malformedRequest));
    }
  };
}

function getRetryAfter(refusal: refusals.RefusalRow): number | undefined {
  return refusal === refusals.Refusals.bodyMemoryFull ? RETRY_AFTER_MILLISECONDS : undefined;
}
