/**
 * Standard output that never blocks.
 *
 * Writing to a pipe that nobody reads would stop the process. Lines that the reader has not taken
 * wait up to a bound; beyond it they are dropped and counted.
 */

import * as net from "node:net";
import * as stream from "node:stream";

/** Bytes that may wait for a slow reader. */
const MAX_WAITING_BYTES = 524_288;

const STANDARD_OUTPUT = 1;

/** A sink for log lines. */
export class BoundedOutput extends stream.Writable {
  readonly #sink: stream.Writable;
  #dropped = 0;

  constructor(sink: stream.Writable) {
    super({ decodeStrings: false });
    this.#sink = sink;
    // A reader that has gone away ends the log, not the process.
    sink.on("error", () => {
      this.#dropped++;
    });
  }

  /** Lines dropped so far. */
  get dropped(): number {
    return this.#dropped;
  }

  override _write(
    line: string | Buffer,
    _encoding: BufferEncoding,
    callback: (error?: Error | null) => void,
  ): void {
    if (this.#sink.destroyed || this.#sink.writableLength > MAX_WAITING_BYTES) {
      this.#dropped++;
    } else {
      this.#sink.write(line);
    }
    callback();
  }
}

/** Standard output as a sink that never blocks. */
export function createStandardOutput(): BoundedOutput {
  try {
    return new BoundedOutput(new net.Socket({ fd: STANDARD_OUTPUT, readable: false }));
  } catch {
    // A file is no socket, and writing to a file does not wait for a reader.
    return new BoundedOutput(process.stdout);
  }
}
