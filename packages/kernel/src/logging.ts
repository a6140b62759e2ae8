/**
 * Structured logs. Each component of the daemon prefixes its messages with its name.
 */

import process from "node:process";
import bunyan from "bunyan";
import type * as messages from "./log_messages.ts";

/** Named values that are logged with a message. They must not contain a caller's key. */
export type LogFields = Record<string, string | number | boolean | undefined>;

/** Creates the root logger of one VM, which writes one JSON object per line to standard output. */
export function createRootLogger(vm: string, level: messages.LogLevel): bunyan {
  return createOutputLogger(vm, level, process.stdout);
}

/** Creates the root logger of one VM, which writes one JSON object per line to the given output. */
export function createOutputLogger(
  vm: string,
  level: messages.LogLevel,
  output: NodeJS.WritableStream,
): bunyan {
  return bunyan.createLogger({ name: "hemlockwalk", vm, streams: [{ level, stream: output }] });
}

/** Values of the fields that the table of messages defines for a message. */
export type MessageFields<Message extends messages.LogMessage> = {
  readonly [Name in keyof Message["fields"]]?: string | number | boolean | undefined;
};

/** Creates a root logger that writes nothing, for tests and tools. */
export function createSilentLogger(): bunyan {
  return bunyan.createLogger({ name: "hemlockwalk", level: bunyan.FATAL + 1 });
}

/** Logger of one component, which prefixes each message with the name of the component. */
export class ComponentLogger {
  readonly #logger: bunyan;
  readonly #prefix: string;

  constructor(root: bunyan, component: string) {
    this.#logger = root.child({ part: component });
    this.#prefix = `${component}: `;
  }

  /** Logs a message of the table with its number. */
  write<Message extends messages.LogMessage>(
    message: Message,
    fields: MessageFields<Message> = {},
  ): void {
    this.#logger[message.level]({ code: message.code, ...fields }, this.#prefix + message.text);
  }

  debug(text: string, fields: LogFields = {}): void {
    this.#logger.debug(fields, this.#prefix + text);
  }

  info(text: string, fields: LogFields = {}): void {
    this.#logger.info(fields, this.#prefix + text);
  }

  warn(text: string, fields: LogFields = {}): void {
    this.#logger.warn(fields, this.#prefix + text);
  }

  error(text: string, fields: LogFields = {}): void {
    this.#logger.error(fields, this.#prefix + text);
  }
}
