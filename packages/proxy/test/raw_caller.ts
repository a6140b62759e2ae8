/**
 * A caller that writes its requests byte by byte and reads responses when it wants to.
 */

import * as net from "node:net";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as harness from "./harness.ts";

/** What determines the end of a response. */
export type Delimiting = "nothing behind its head" | "length" | "chunks" | "end of the connection";

/** A response on a raw connection. */
export interface RawAnswer {
  readonly status: number;
  readonly id: string;
  readonly body: string;
  readonly endsConnection: boolean;
  readonly delimiting: Delimiting;
  /** False if the connection ended before the response did. */
  readonly isWhole: boolean;
}

/** Options of a request. */
export interface RawRequest {
  readonly id: string;
  readonly method?: string;
  readonly path?: string;
  readonly version?: string;
  readonly headers?: readonly string[];
  readonly body?: string;
  readonly isChunked?: boolean;
}

/** Encodes a request. */
export function encodeRequest(request: RawRequest): string {
  const { body = "", method = "POST" } = request;
  const framing = request.isChunked === true
    ? ["Transfer-Encoding: chunked"]
    : body === ""
    ? []
    : [`Content-Length: ${body.length}`];
  const head = [
    `${method} ${request.path ?? "/bookings/1"} HTTP/${request.version ?? "1.1"}`,
    "Host: desk.example",
    "Authorization: Bearer secret",
    `${harness.PROFILE.requestId}: ${request.id}`,
    `${harness.PROFILE.deadline}: 10000`,
    ...framing,
    ...(request.headers ?? []),
  ];
  const chunks = `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;
  return `${head.join("\r\n")}\r\n\r\n${request.isChunked === true ? chunks : body}`;
}

/** One connection of a caller. */
export class RawCaller {
  readonly #socket: net.Socket;
  #received = "";
  #hasEnded = false;
  #error: Error | undefined;

  constructor(vm: Pick<harness.TestVm, "host" | "port">) {
    this.#socket = net.connect({
      host: vm.host,
      port: vm.port,
      noDelay: true,
      allowHalfOpen: true,
    });
    this.#socket.setEncoding("latin1");
    this.#socket.on("data", (text: string) => this.#received += text);
    this.#socket.on("end", () => void this.#onEnd());
    this.#socket.on("close", () => this.#hasEnded = true);
    this.#socket.on("error", (error) => this.#error = error);
  }

  /** Whether the VM has ended its side. */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** Whether the connection was reset. */
  get isReset(): boolean {
    return this.#error !== undefined;
  }

  get received(): string {
    return this.#received;
  }

  send(text: string): void {
    this.#socket.write(text, "latin1");
  }

  pause(): void {
    this.#socket.pause();
  }

  resume(): void {
    this.#socket.resume();
  }

  close(): void {
    this.#socket.destroy();
  }

  /** Ends the sending side, and reads on. */
  endSending(): void {
    this.#socket.end();
  }

  /** Waits for a number of responses, or for the end of the connection. */
  async readAnswers(count: number): Promise<RawAnswer[]> {
    await harness.waitFor(
      () => this.#hasEnded || this.listAnswers().filter(({ isWhole }) => isWhole).length >= count,
      `${count} responses`,
      10_000,
    );
    return this.listAnswers();
  }

  /** The responses that have been received so far. */
  listAnswers(): RawAnswer[] {
    const answers: RawAnswer[] = [];
    let left = this.#received;
    while (left.includes("\r\n\r\n")) {
      const headEnd = left.indexOf("\r\n\r\n");
      const head = left.slice(0, headEnd);
      const { body, length } = this.#readBody(head, left.slice(headEnd + 4));
      answers.push({
        status: Number(head.slice(9, 12)),
        id: findHeader(head, harness.PROFILE.requestId) ?? "",
        endsConnection: findHeader(head, "connection") === "close",
        delimiting: findDelimiting(head),
        body,
        isWhole: length !== undefined,
      });
      left = length === undefined ? "" : left.slice(headEnd + 4 + length);
    }
    return answers;
  }

  /** After a reset, the handler of `close` follows. */
  async #onEnd(): Promise<void> {
    if (await kernelTesting.hasEndedInOrder(this.#socket)) {
      this.#hasEnded = true;
      this.#socket.end();
    }
  }

  /** The length is that of the encoded body, undefined if its end is missing. */
  #readBody(head: string, text: string): { body: string; length: number | undefined } {
    const delimiting = findDelimiting(head);
    if (delimiting === "length" || delimiting === "nothing behind its head") {
      const length = delimiting === "length" ? Number(findHeader(head, "content-length")) : 0;
      return { body: text.slice(0, length), length: text.length >= length ? length : undefined };
    }
    if (delimiting === "end of the connection") {
      const isWhole = this.#hasEnded && this.#error === undefined;
      return { body: text, length: isWhole ? text.length : undefined };
    }
    let body = "";
    let position = 0;
    for (;;) {
      const lineEnd = text.indexOf("\r\n", position);
      const size = Number.parseInt(text.slice(position, lineEnd), 16);
      const end = lineEnd + 2 + size + 2;
      if (lineEnd < 0 || text.length < end) {
        return { body, length: undefined };
      }
      body += text.slice(lineEnd + 2, end - 2);
      position = end;
      if (size === 0) {
        return { body, length: position };
      }
    }
  }
}

function findDelimiting(head: string): Delimiting {
  if (["204", "304"].includes(head.slice(9, 12))) {
    return "nothing behind its head";
  }
  if (findHeader(head, "content-length") !== undefined) {
    return "length";
  }
  return findHeader(head, "transfer-encoding") === "chunked" ? "chunks" : "end of the connection";
}

function findHeader(head: string, name: string): string | undefined {
  return new RegExp(`^${name}: (.*)$`, "im").exec(head)?.[1]?.trim();
}
