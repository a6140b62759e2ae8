/**
 * Tests that fail because of a known, open fault, as listed in KNOWN-RED.txt.
 *
 * An entry begins with a line `test: <names from the outermost suite, joined by " > ">`.
 */

import * as fs from "node:fs";
import * as path from "node:path";
import process from "node:process";

const ENTRY = /^test: (.+)$/;

/** Lists the names of all tests in the file. */
export function listKnownRed(root) {
  const file = path.join(root, "KNOWN-RED.txt");
  if (!fs.existsSync(file)) {
    return new Set();
  }
  const lines = fs.readFileSync(file, "utf8").split("\n");
  return new Set(lines.map((line) => ENTRY.exec(line)?.[1]).filter((name) => name !== undefined));
}

/**
 * Evaluates a run of tests and prints the result; true if no test failed but listed ones.
 *
 * @param exitCode Exit code of the test runner.
 * @param failed Names of the tests that failed.
 */
export function evaluateRun(exitCode, failed, knownRed) {
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
  // A runner that failed without naming a test has crashed, which the list never excuses.
  return failed.length > 0 && unexpected.length === 0;
}
