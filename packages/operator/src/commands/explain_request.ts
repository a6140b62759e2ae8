/**
 * `hemlockctl explain-request`: how one request came to its end, from the logs of the VMs.
 */

import * as fs from "node:fs";
import process from "node:process";
import * as readline from "node:readline";
import * as citty from "citty";
import * as output from "../output.ts";
import * as stories from "../request_stories.ts";

async function* readLines(files: readonly string[]): AsyncGenerator<string> {
  if (files.length === 0) {
    yield* readline.createInterface({ input: process.stdin });
  }
  for (const file of files) {
    yield* readline.createInterface({ input: fs.createReadStream(file) });
  }
}

async function explainRequest(request: string, files: readonly string[]): Promise<void> {
  let extract: stories.LogExtract;
  try {
    extract = await stories.readLog(readLines(files));
  } catch (error) {
    output.printNotice(`The logs cannot be read: ${String(error)}`);
    process.exitCode = output.EXIT_INVALID;
    return;
  }
  const lines = stories.formatStories(extract, request);
  if (lines.length > 0) {
    lines.forEach(output.printLine);
    return;
  }
  output.printNotice(`The logs hold no story of the request '${request}'.`);
  stories.explainMissing(extract).forEach(output.printNotice);
  process.exitCode = output.EXIT_NOT_FOUND;
}

export const explainRequestCommand = citty.defineCommand({
  meta: {
    name: "explain-request",
    description: "Tells from the logs of the VMs how a request came to its end.",
  },
  args: {
    request: { type: "positional", required: true, description: "Identifier of the request." },
    files: {
      type: "positional",
      required: false,
      description: "Log files of any number of VMs; standard input without any.",
    },
  },
  run: ({ args }) => explainRequest(args.request, args._.slice(1)),
});
