/**
 * Reads JSON documents with comments against a schema and gives every finding its position.
 */

import * as jsonc from "jsonc-parser";
import * as neverthrow from "neverthrow";
import type * as zod from "zod";
import * as diagnostics from "./diagnostics.ts";

/** Turns an offset into a line and a column. */
export function getPosition(text: string, offset: number): diagnostics.Position {
  const before = text.slice(0, offset);
  const lastBreak = before.lastIndexOf("\n");
  const line = before.split("\n").length;
  return { line, column: offset - lastBreak };
}

/** Formats a path of names and indexes, such as `added.routes[2].service`. */
export function formatPath(path: readonly PropertyKey[]): string {
  let text = "";
  for (const part of path) {
    text += typeof part === "number" ? `[${part}]` : `${text === "" ? "" : "."}${String(part)}`;
  }
  return text;
}

/** Finds the position of the closest existing node on the given path. */
export function findPosition(
  text: string,
  tree: jsonc.Node | undefined,
  path: readonly PropertyKey[],
): diagnostics.Position | undefined {
  if (tree === undefined) {
    return undefined;
  }
  for (let length = path.length; length >= 0; length--) {
    const node = jsonc.findNodeAtLocation(tree, path.slice(0, length) as jsonc.JSONPath);
    if (node !== undefined) {
      return getPosition(text, node.offset);
    }
  }
  return undefined;
}

/**
 * Parses a document and checks it against a schema.
 *
 * @returns The checked value, or all findings at once with their positions.
 */
export function parseDocument<Schema extends zod.ZodType>(
  text: string,
  schema: Schema,
): neverthrow.Result<zod.output<Schema>, diagnostics.Diagnostic[]> {
  const errors: jsonc.ParseError[] = [];
  const value: unknown = jsonc.parse(text, errors, { allowTrailingComma: true });
  if (errors.length > 0) {
    return neverthrow.err(errors.map((error) => createSyntaxDiagnostic(text, error)));
  }
  const checked = schema.safeParse(value);
  if (checked.success) {
    return neverthrow.ok(checked.data);
  }
  // The tree costs several times the plain parse, so only a wrong document pays for it.
  const tree = jsonc.parseTree(text);
  return neverthrow.err(
    checked.error.issues.map((issue) => createIssueDiagnostic(text, tree, issue)),
  );
}

function createSyntaxDiagnostic(text: string, error: jsonc.ParseError): diagnostics.Diagnostic {
  return diagnostics.createDiagnostic(
    diagnostics.Diagnostics.invalidJson,
    [jsonc.printParseErrorCode(error.error)],
    "",
    getPosition(text, error.offset),
  );
}

function createIssueDiagnostic(
  text: string,
  tree: jsonc.Node | undefined,
  issue: zod.core.$ZodIssue,
): diagnostics.Diagnostic {
  const path = issue.code === "unrecognized_keys"
    ? [...issue.path, issue.keys[0] ?? ""]
    : issue.path;
  return diagnostics.createDiagnostic(
    diagnostics.Diagnostics.invalidField,
    [issue.message],
    formatPath(path),
    findPosition(text, tree, path),
  );
}
