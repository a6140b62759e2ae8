/**
 * Reads JSON documents with comments against a schema and gives every finding its position.
 */

import * as jsonc from "jsonc-parser";
import * as neverthrow from "neverthrow";
import type * as zod from "zod";
import * as diagnostics from "./diagnostics.ts";
import * as fieldLocation from "./field_location.ts";

/** Turns an offset into a line and a column. */
export function getPosition(text: string, offset: number): diagnostics.Position {
  let line = 1;
  let lineStart = 0;
  for (;;) {
    const lineBreak = text.indexOf("\n", lineStart);
    if (lineBreak === -1 || lineBreak >= offset) {
      return { line, column: offset - lineStart + 1 };
    }
    line++;
    lineStart = lineBreak + 1;
  }
}

/**
 * Parses JSON with comments.
 *
 * @returns The value, or every syntax error with its position.
 */
export function parseValue(text: string): neverthrow.Result<unknown, diagnostics.Diagnostic[]> {
  const plain = parsePlain(text);
  if (plain !== undefined) {
    return neverthrow.ok(plain.value);
  }
  const errors: jsonc.ParseError[] = [];
  const value: unknown = jsonc.parse(text, errors, { allowTrailingComma: true });
  if (errors.length > 0) {
    return neverthrow.err(errors.map((error) => createSyntaxDiagnostic(text, error)));
  }
  return neverthrow.ok(value);
}

/**
 * Parses JSON as the standard has it, without comments.
 *
 * @returns The value, or every syntax error with its position.
 */
export function parseStrictValue(
  text: string,
): neverthrow.Result<unknown, diagnostics.Diagnostic[]> {
  const plain = parsePlain(text);
  if (plain !== undefined) {
    return neverthrow.ok(plain.value);
  }
  const errors: jsonc.ParseError[] = [];
  jsonc.parse(text, errors, { disallowComments: true, allowEmptyContent: false });
  const findings = errors.slice(0, diagnostics.MAXIMUM_FINDINGS)
    .map((error) => createSyntaxDiagnostic(text, error));
  // The two parsers differ in some escapes; what only one of them takes is refused all the same.
  const unknown = diagnostics.createDiagnostic(diagnostics.Diagnostics.invalidJson, ["syntax"]);
  return neverthrow.err(findings.length > 0 ? findings : [unknown]);
}

/** Parses JSON without comments, several times as fast as the parser that knows comments. */
function parsePlain(text: string): { readonly value: unknown } | undefined {
  try {
    return { value: JSON.parse(text) as unknown };
  } catch {
    return undefined;
  }
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
  const value = parseValue(text);
  if (value.isErr()) {
    return neverthrow.err(value.error);
  }
  const checked = schema.safeParse(value.value);
  if (checked.success) {
    return neverthrow.ok(checked.data);
  }
  return neverthrow.err(locateDiagnostics(text, createIssueDiagnostics(checked.error.issues)));
}

/**
 * Turns the issues of a schema into findings without positions.
 *
 * @param prefix Where the checked value stands in its document.
 */
export function createIssueDiagnostics(
  issues: readonly zod.core.$ZodIssue[],
  prefix: readonly PropertyKey[] = [],
): diagnostics.Diagnostic[] {
  return issues.flatMap((issue) => {
    if (issue.code !== "unrecognized_keys") {
      return [createIssueDiagnostic(issue.message, [...prefix, ...issue.path])];
    }
    return issue.keys.map((key) =>
      createIssueDiagnostic(`Unrecognized key: "${key}"`, [...prefix, ...issue.path, key])
    );
  });
}

/** Gives each finding that names a field the position of that field, for the first findings. */
export function locateDiagnostics(
  text: string,
  findings: readonly diagnostics.Diagnostic[],
): diagnostics.Diagnostic[] {
  const steps = locateDiagnosticsInSteps(text, findings);
  for (;;) {
    const step = steps.next();
    if (step.done === true) {
      return step.value;
    }
  }
}

/** Does the same as `locateDiagnostics` in short steps, between which other work may run. */
export function* locateDiagnosticsInSteps(
  text: string,
  findings: readonly diagnostics.Diagnostic[],
): Generator<void, diagnostics.Diagnostic[]> {
  const reported = findings.slice(0, diagnostics.MAXIMUM_FINDINGS);
  const paths = reported.flatMap((finding) => finding.path === undefined ? [] : [finding.path]);
  const offsets = yield* fieldLocation.findOffsetsInSteps(text, paths);
  return reported.map((finding) => {
    const offset = finding.path === undefined ? undefined : offsets.get(finding.path);
    return finding.position !== undefined || offset === undefined
      ? finding
      : { ...finding, position: getPosition(text, offset) };
  });
}

function createSyntaxDiagnostic(text: string, error: jsonc.ParseError): diagnostics.Diagnostic {
  return diagnostics.createDiagnostic(
    diagnostics.Diagnostics.invalidJson,
    [jsonc.printParseErrorCode(error.error)],
    [],
    getPosition(text, error.offset),
  );
}

function createIssueDiagnostic(
  message: string,
  path: readonly PropertyKey[],
): diagnostics.Diagnostic {
  return diagnostics.createDiagnostic(diagnostics.Diagnostics.invalidField, [message], path);
}
