/**
 * `hemlockctl explain-request`: shows from the VMs' logs how one request was handled.
 */

import * as fs from "node:fs";
import process from "node:process";
import * as readline from "node:readline";
import * as citty from "citty";
import * as output from "../output.ts";
import * as requestTraces from "../request_traces.ts";

async function* readLogLines(files: readonly string[]): AsyncGenerator<string> {
  if (files.length === 0) {
    yield* readline.createInterface({ input: process.stdin });
  }
  for (const file of files) {
    yield* readline.createInterface({ input: fs.createReadStream(file) });
  }
}

async function explainRequest(request: string, files: readonly string[]): Promise<void> {
  let extract: requestTraces.LogExtract;
  try {
    extract = await requestTraces.readLog(readLogLines(files));
  } catch (error) {
    output.printNotice(`The logs cannot be read: ${String(error)}`);
    process.exitCode = output.EXIT_INVALID;
    return;
  }
  const lines = requestTraces.formatTraces(extract, request);
  if (lines.length > 0) {
    lines.forEach(output.printLine);
    return;
  }
  output.printNotice(`The logs hold no story of the request '${request}'.`);
  requestTraces.explainMissingTrace(extract).forEach(output.printNotice);
  process.exitCode = output.EXIT_NOT_FOUND;
}

export const explainRequestCommand = citty.defineCommand({
  meta: {
    name: "explain-request",
    description: "Shows from the logs of the VMs how a request was handled.",
  },
  args: {
    request: { type: "positional", required: true, description: "Identifier of the request." },
    files: {
      type: "positional",
      required: false,
      description: "Log files of one or more VMs; standard input if none is given.",
    },
  },
  run: ({ args }) => explainRequest(args.request, args._.slice(1)),
});
