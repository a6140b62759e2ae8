/**
 * The worker's side of the commands. A worker is a process that the experiment started.
 */

import process from "node:process";
import type * as commands from "./commands.ts";

/** Serves commands until the experiment ends the process. */
export function serveCommands(handlers: commands.CommandHandlers): void {
  process.on("message", (message: commands.CommandMessage) => {
    void answerCommand(handlers, message);
  });
  // Without this, workers would keep running if the experiment ended without stopping them.
  process.on("disconnect", () => process.exit(1));
}

async function answerCommand(
  handlers: commands.CommandHandlers,
  message: commands.CommandMessage,
): Promise<void> {
  const handler = handlers[message.name] as ((request: unknown) => unknown) | undefined;
  let answer: commands.AnswerMessage;
  try {
    if (handler === undefined) {
      throw new Error(`This worker has no handler for the command '${message.name}'.`);
    }
    answer = { id: message.id, answer: await handler(message.request) };
  } catch (error) {
    answer = { id: message.id, error: (error as Error).stack ?? String(error) };
  }
  process.send?.(answer);
}

/** Returns the processor time and the memory that the process has used so far. */
export function getProcessReport(): commands.ProcessReport {
  const usage = process.cpuUsage();
  return {
    cpuMilliseconds: (usage.user + usage.system) / 1_000,
    residentBytes: process.memoryUsage.rss(),
  };
}
