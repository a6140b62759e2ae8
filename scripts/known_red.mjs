/**
 * Tests that fail for a fault that is known and open, listed in KNOWN-RED.txt.
 *
 * An entry begins with a line `test: <names from the outermost suite, joined by " > ">`.
 */

import * as fs from "node:fs";
import * as path from "node:path";
import process from "node:process";

const ENTRY = /^test: (.+)$/;

/** The names of all listed tests. */
export function listKnownRed(root) {
  const file = path.join(root, "KNOWN-RED.txt");
  if (!fs.existsSync(file)) {
    return new Set();
  }
  const lines = fs.readFileSync(file, "utf8").split("\n");
  return new Set(lines.map((line) => ENTRY.exec(line)?.[1]).filter((name) => name !== undefined));
}

/**
 * Judges a run of tests: true when nothing failed but what is listed.
 *
 * @param exitCode Exit code of the test runner.
 * @param failed Names of the tests that failed.
 */
export function judgeRun(exitCode, failed, knownRed) {
  const unexpected = failed.filter((name) => !knownRed.has(name));
  for (const name of failed.filter((candidate) => knownRed.has(candidate))) {
    process.stdout.write(`known red: ${name}\n`);
  }
  for (const name of knownRed) {
    if (!failed.includes(name)) {
      process.stdout.write(`known red, but passed: ${name}\n`);
    }
  }
  for (const name of unexpected) {
    process.stdout.write(`failed: ${name}\n`);
  }
  if (exitCode === 0) {
    return true;
  }
  // A runner that failed without naming a test crashed, which no list excuses.
  return failed.length > 0 && unexpected.length === 0;
}
