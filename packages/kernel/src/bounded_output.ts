/**
 * Non-blocking standard output.
 *
 * A write to a full pipe that nobody reads would block the process. Unread lines are buffered up to
 * a limit; further lines are dropped and counted.
 */

import * as net from "node:net";
import * as stream from "node:stream";

/** Bytes that are buffered for a slow reader before lines are dropped. */
const MAX_BUFFERED_BYTES = 524_288;

const STANDARD_OUTPUT = 1;

/** A stream of log lines that drops lines instead of blocking. */
export class BoundedOutput extends stream.Writable {
  readonly #sink: stream.Writable;
  #dropped = 0;

  constructor(sink: stream.Writable) {
    super({ decodeStrings: false });
    this.#sink = sink;
    // A reader that closes the pipe ends the log output but not the process.
    sink.on("error", () => {
      this.#dropped++;
    });
  }

  /** Number of lines dropped so far. */
  get dropped(): number {
    return this.#dropped;
  }

  override _write(
    line: string | Buffer,
    _encoding: BufferEncoding,
    callback: (error?: Error | null) => void,
  ): void {
    if (this.#sink.destroyed || this.#sink.writableLength > MAX_BUFFERED_BYTES) {
      this.#dropped++;
    } else {
      this.#sink.write(line);
    }
    callback();
  }
}

/** Creates a stream that writes to standard output without blocking. */
export function createStandardOutput(): BoundedOutput {
  try {
    return new BoundedOutput(new net.Socket({ fd: STANDARD_OUTPUT, readable: false }));
  } catch {
    // Standard output is a file, which is not a socket. Writes to it do not wait for a reader.
    return new BoundedOutput(process.stdout);
  }
}
