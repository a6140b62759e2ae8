/**
 * The operators' page on the log, made from the table of messages.
 */

import * as messages from "./log_messages.ts";

/** The text of `docs/operators/log_messages.md`. */
export function formatLogPage(): string {
  const rows = Object.values(messages.LogMessages).map((message) =>
    `## ${message.code} ${message.text}\n\nLevel \`${message.level}\`.${
      formatFields(message.fields)
    }`
  );
  const steps = Object.entries(messages.StorySteps).map(([step, inputs]) =>
    `## \`${step}\`${formatFields(inputs)}`
  );
  return [
    "# Messages of the log",
    "Made by `npm run pages` from `packages/kernel/src/log_messages.ts`; a test compares both.",
    "Each line is a JSON object with `code`, the number below, `vm`, `part`, `time`, `level` and `msg`,\n" +
    "and the fields of its message.",
    ...rows,
    "# Steps of a request's story",
    "They stand in `steps` of message 5001, each with `at`, milliseconds after the arrival.\n" +
    "`hemlockctl explain-request ID` prints them.",
    ...steps,
  ].join("\n\n") + "\n";
}

function formatFields(fields: Readonly<Record<string, string>>): string {
  const lines = Object.entries(fields).map(([name, meaning]) => `- \`${name}\`: ${meaning}`);
  return lines.length === 0 ? "" : `\n\n${lines.join("\n")}`;
}
