/**
 * Parses JSON documents with comments, checks them against a schema and locates the findings.
 */

import * as jsonc from "jsonc-parser";
import * as neverthrow from "neverthrow";
import type * as zod from "zod";
import * as diagnostics from "./diagnostics.ts";
import * as fieldLocation from "./field_location.ts";

/** Converts an offset to a line and a column. */
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
  const parsed = parseStandardJson(text);
  if (parsed !== undefined) {
    return neverthrow.ok(parsed.value);
  }
  const errors: jsonc.ParseError[] = [];
  const value: unknown = jsonc.parse(text, errors, { allowTrailingComma: true });
  if (errors.length > 0) {
    return neverthrow.err(errors.map((error) => createSyntaxDiagnostic(text, error)));
  }
  return neverthrow.ok(value);
}

/**
 * Parses standard JSON, without comments.
 *
 * @returns The value, or every syntax error with its position.
 */
export function parseStrictValue(
  text: string,
): neverthrow.Result<unknown, diagnostics.Diagnostic[]> {
  const parsed = parseStandardJson(text);
  if (parsed !== undefined) {
    return neverthrow.ok(parsed.value);
  }
  const errors: jsonc.ParseError[] = [];
  jsonc.parse(text, errors, { disallowComments: true, allowEmptyContent: false });
  const findings = errors.slice(0, diagnostics.MAXIMUM_FINDINGS)
    .map((error) => createSyntaxDiagnostic(text, error));
  // The two parsers differ in some escapes. Text that only one of them accepts is refused too.
  const unknown = diagnostics.createDiagnostic(diagnostics.Diagnostics.invalidJson, ["syntax"]);
  return neverthrow.err(findings.length > 0 ? findings : [unknown]);
}

/** Parses JSON without comments, several times as fast as the parser that accepts comments. */
function parseStandardJson(text: string): { readonly value: unknown } | undefined {
  try {
    return { value: JSON.parse(text) as unknown };
  } catch {
    return undefined;
  }
}

/**
 * Parses a document and checks it against a schema.
 *
 * @returns The checked value, or all findings with their positions.
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
 * Converts the issues of a schema to findings without positions.
 *
 * @param prefix Path of the checked value in its document.
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

/** Returns the first findings, each with the position of its field if it names one. */
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
