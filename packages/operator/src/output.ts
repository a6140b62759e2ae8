/**
 * What the tool prints, and its exit codes.
 */

import process from "node:process";
import * as model from "@hemlockwalk/model";

/** Exit code when something that was checked is wrong. */
export const EXIT_INVALID = 2;
/** Exit code when a VM could not be asked. */
export const EXIT_UNREACHABLE = 3;
/** Exit code when a VM tells of something that operators must look at. */
export const EXIT_ALARM = 4;

/** Exit code when what was asked for is not there. */
export const EXIT_NOT_FOUND = 5;

/** A finding with the file that it is about. */
export interface FileFinding {
  readonly file: string;
  readonly diagnostic: model.Diagnostic;
}

/** Ends a command: the findings are printed and the exit code says that something is wrong. */
export class FindingsError extends Error {
  override readonly name = "FindingsError";
  readonly findings: readonly FileFinding[];

  constructor(findings: readonly FileFinding[]) {
    super(findings.map(formatFinding).join("\n"));
    this.findings = findings;
  }
}

/** Ends a command over findings in one file. */
export function createFindingsError(
  file: string,
  diagnostics: readonly model.Diagnostic[],
): FindingsError {
  return new FindingsError(diagnostics.map((diagnostic) => ({ file, diagnostic })));
}

/** Prints a line of the result. */
export function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Prints a line that is not part of the result. */
export function printNotice(line: string): void {
  process.stderr.write(`${line}\n`);
}

/** Runs a command's body; findings that end it are printed to standard error. */
export async function runReporting(body: () => void | Promise<void>): Promise<void> {
  try {
    await body();
  } catch (error) {
    if (!(error instanceof FindingsError)) {
      throw error;
    }
    error.findings.forEach((finding) => printNotice(formatFinding(finding)));
    process.exitCode = EXIT_INVALID;
  }
}

function formatFinding(finding: FileFinding): string {
  return model.formatDiagnostic(finding.file, finding.diagnostic);
}
