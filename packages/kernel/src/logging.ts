/**
 * Structured logs. Each part of the daemon writes short sentences behind its own fixed prefix.
 */

import process from "node:process";
import bunyan from "bunyan";
import type * as messages from "./log_messages.ts";

/** Named values that go beside a sentence. Never a caller's key. */
export type LogFields = Record<string, string | number | boolean | undefined>;

/** Creates the root logger of one VM, which writes one JSON object a line to standard output. */
export function createRootLogger(vm: string, level: messages.LogLevel): bunyan {
  return createOutputLogger(vm, level, process.stdout);
}

/** Creates the root logger of one VM, which writes one JSON object a line to the given output. */
export function createOutputLogger(
  vm: string,
  level: messages.LogLevel,
  output: NodeJS.WritableStream,
): bunyan {
  return bunyan.createLogger({ name: "hemlockwalk", vm, streams: [{ level, stream: output }] });
}

/** Values for fields of a message, which the table names. */
export type MessageFields<Message extends messages.LogMessage> = {
  readonly [Name in keyof Message["fields"]]?: string | number | boolean | undefined;
};

/** Creates a root logger that writes nothing, for tests and tools. */
export function createSilentLogger(): bunyan {
  return bunyan.createLogger({ name: "hemlockwalk", level: bunyan.FATAL + 1 });
}

/** The logger of one part: a fixed prefix and short sentences. */
export class PartLogger {
  readonly #logger: bunyan;
  readonly #prefix: string;

  constructor(root: bunyan, part: string) {
    this.#logger = root.child({ part });
    this.#prefix = `${part}: `;
  }

  /** Writes a message of the table, with its number. */
  write<Message extends messages.LogMessage>(
    message: Message,
    fields: MessageFields<Message> = {},
  ): void {
    this.#logger[message.level]({ code: message.code, ...fields }, this.#prefix + message.text);
  }

  debug(sentence: string, fields: LogFields = {}): void {
    this.#logger.debug(fields, this.#prefix + sentence);
  }

  info(sentence: string, fields: LogFields = {}): void {
    this.#logger.info(fields, this.#prefix + sentence);
  }

  warn(sentence: string, fields: LogFields = {}): void {
    this.#logger.warn(fields, this.#prefix + sentence);
  }

  error(sentence: string, fields: LogFields = {}): void {
    this.#logger.error(fields, this.#prefix + sentence);
  }
}
