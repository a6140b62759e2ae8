/**
 * `hemlockctl explain-placement`: shows where a VM would send a request now, and why.
 */

import process from "node:process";
import * as streams from "node:stream/consumers";
import * as model from "@hemlockwalk/model";
import * as citty from "citty";
import * as undici from "undici";
import * as output from "../output.ts";
import * as report from "../placement_report.ts";

const TIMEOUT_MILLISECONDS = 2_000;

const PATH = "/explain-placement";
const KEY_HEADER = "Hemlockwalk-Key";

const OPTIONS = {
  vm: { type: "string", description: "Address of the VM's metrics page." },
  method: { type: "string", description: "Method of the request." },
  host: { type: "string", description: "Host of the request." },
  path: { type: "string", description: "Path of the request." },
  workspace: { type: "string", description: "Workspace of the request." },
  "key-stdin": { type: "boolean", description: "Reads the caller's key from standard input." },
  deadline: { type: "string", description: "Time that the caller waits, in milliseconds." },
  json: { type: "boolean", description: "Prints the answer as one JSON document." },
} as const;

/** What the command is called with. */
interface Query {
  readonly vm: string;
  readonly isKeyRead: boolean;
  readonly isJson: boolean;
  readonly request: {
    readonly method: string;
    readonly host: string;
    readonly path: string;
    readonly workspace: string | undefined;
    readonly deadlineMilliseconds: number | undefined;
  };
}

/** Reads the options, each of which may be given once. Returns what is wrong with them. */
function readOptions(args: Readonly<Record<string, unknown>>): Query | string {
  // The parser of the command line adds each name in camel case.
  const known = new Set(["_", "keyStdin", ...Object.keys(OPTIONS)]);
  const unknown = Object.keys(args).find((name) => !known.has(name));
  if (unknown !== undefined) {
    return `Unknown option '${unknown}'`;
  }
  if (Array.isArray(args["_"]) && args["_"].length > 0) {
    return "Expected options only";
  }
  const texts: Record<string, string> = {};
  for (const name of ["vm", "method", "host", "path", "workspace", "deadline"] as const) {
    const value = args[name];
    if (value === undefined) {
      continue;
    }
    if (typeof value !== "string" || value === "") {
      return `Option '--${name}' needs one value`;
    }
    texts[name] = value;
  }
  const { vm, method, host, path, workspace, deadline } = texts;
  if (vm === undefined || method === undefined || host === undefined || path === undefined) {
    return "Options '--vm', '--method', '--host' and '--path' are needed";
  }
  const base = vm.includes("://") ? vm : `http://${vm}`;
  if (!URL.canParse(base)) {
    return "Option '--vm' is no address";
  }
  if (!path.startsWith("/")) {
    return "Option '--path' must begin with '/'";
  }
  if (deadline !== undefined && !/^\d{1,12}$/.test(deadline)) {
    return "Option '--deadline' is no number of milliseconds";
  }
  const isKeyRead = args["key-stdin"] === true;
  if (workspace !== undefined && isKeyRead) {
    return "Options '--workspace' and '--key-stdin' exclude each other";
  }
  const deadlineMilliseconds = deadline === undefined ? undefined : Number(deadline);
  return {
    vm: base,
    isKeyRead,
    isJson: args["json"] === true,
    request: { method, host, path, workspace, deadlineMilliseconds },
  };
}

/** Prints one line on an error to standard error. */
function fail(place: string, diagnostic: model.Diagnostic, exitCode: number): void {
  output.printNotice(model.formatDiagnostic(place, diagnostic));
  process.exitCode = exitCode;
}

function getExitCode(code: number): number {
  const { routeUnknown, workspaceUnknown, keyUnknown, vmStarting, tooMany } =
    model.ExplanationDiagnostics;
  switch (code) {
    case routeUnknown.code:
    case workspaceUnknown.code:
    case keyUnknown.code:
      return output.EXIT_NOT_FOUND;
    case vmStarting.code:
    case tooMany.code:
      return output.EXIT_UNREACHABLE;
    default:
      return output.EXIT_INVALID;
  }
}

/** The error that a VM has responded with; undefined if the response states none. */
function readError(document: unknown): model.Diagnostic | undefined {
  const { error } = (document ?? {}) as { error?: { code?: unknown; text?: unknown } };
  return typeof error?.code === "number" && typeof error.text === "string"
    ? { code: error.code, text: error.text, field: "" }
    : undefined;
}

async function explainPlacement(args: Readonly<Record<string, unknown>>): Promise<void> {
  const query = readOptions(args);
  if (typeof query === "string") {
    const diagnostic = model.createDiagnostic(model.ExplanationDiagnostics.optionInvalid, [query]);
    fail("explain-placement", diagnostic, output.EXIT_INVALID);
    return;
  }
  const key = query.isKeyRead ? (await streams.text(process.stdin)).trim() : undefined;
  if (key !== undefined && !/^[\x21-\x7e]+$/.test(key)) {
    const text = "Standard input holds no key";
    const diagnostic = model.createDiagnostic(model.ExplanationDiagnostics.optionInvalid, [text]);
    fail("explain-placement", diagnostic, output.EXIT_INVALID);
    return;
  }
  let status: number;
  let text: string;
  try {
    const response = await undici.request(`${query.vm}${PATH}`, {
      method: "POST",
      headers: {
        "Content-Type": "application/json",
        ...(key === undefined ? {} : { [KEY_HEADER]: key }),
      },
      body: JSON.stringify(query.request),
      signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
    });
    status = response.statusCode;
    text = await response.body.text();
  } catch {
    const values = [TIMEOUT_MILLISECONDS];
    const diagnostic = model.createDiagnostic(model.ExplanationDiagnostics.vmUnreachable, values);
    fail(query.vm, diagnostic, output.EXIT_UNREACHABLE);
    return;
  }
  printAnswer(query, status, text);
}

function printAnswer(query: Query, status: number, text: string): void {
  const document = parseDocument(text);
  if (status !== 200 || document === undefined) {
    // A VM without an options file, or of an earlier version, has no such path.
    const other = status === 404
      ? model.createDiagnostic(model.ExplanationDiagnostics.off, [])
      : model.createDiagnostic(model.ExplanationDiagnostics.answerInvalid, [status]);
    const diagnostic = readError(document) ?? other;
    fail(query.vm, diagnostic, getExitCode(diagnostic.code));
    return;
  }
  if (query.isJson) {
    output.printLine(text);
    return;
  }
  report.formatAnswer(document as report.PlacementAnswer).forEach(output.printLine);
}

function parseDocument(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

export const explainPlacementCommand = citty.defineCommand({
  meta: {
    name: "explain-placement",
    description: "Shows where a VM would send a request now, and why, without sending it.",
  },
  args: OPTIONS,
  run: ({ args }) => explainPlacement(args),
});
