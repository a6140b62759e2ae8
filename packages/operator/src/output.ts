/**
 * The output and the exit codes of the tool.
 */

import process from "node:process";
import * as model from "@hemlockwalk/model";

/** Exit code if an input is invalid. */
export const EXIT_INVALID = 2;
/** Exit code if a VM gave no valid response. */
export const EXIT_UNREACHABLE = 3;
/** Exit code if a VM reports a problem that operators must examine. */
export const EXIT_ALARM = 4;

/** Exit code if the requested item was not found. */
export const EXIT_NOT_FOUND = 5;

/** A finding and the file in which it was made. */
export interface FileFinding {
  readonly file: string;
  readonly diagnostic: model.Diagnostic;
}

/** Ends a command: its findings are printed and the exit code is `EXIT_INVALID`. */
export class FindingsError extends Error {
  override readonly name = "FindingsError";
  readonly findings: readonly FileFinding[];

  constructor(findings: readonly FileFinding[]) {
    super(findings.map(formatFinding).join("\n"));
    this.findings = findings;
  }
}

/** Creates the error that ends a command because of findings in one file. */
export function createFindingsError(
  file: string,
  diagnostics: readonly model.Diagnostic[],
): FindingsError {
  return new FindingsError(diagnostics.map((diagnostic) => ({ file, diagnostic })));
}

/** Prints a line of the result to standard output. */
export function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Prints a line that is not part of the result to standard error. */
export function printNotice(line: string): void {
  process.stderr.write(`${line}\n`);
}

/** Runs the body of a command. If findings end it, prints them to standard error. */
export async function runCommand(body: () => void | Promise<void>): Promise<void> {
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
