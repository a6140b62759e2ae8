/**
 * `npm test`: installs what is missing, checks the format, lints, builds and runs all tests.
 */

import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import process from "node:process";
import * as knownRed from "./known_red.mjs";
import * as steps from "./steps.mjs";

/** Test files that run at once. Fixed, so that the load does not depend on the machine. */
const TEST_CONCURRENCY = 4;

/** A test file that takes longer counts as failed. The longest one takes a minute. */
const TEST_TIMEOUT_MILLISECONDS = 150_000;

function cleanOutputs() {
  // Compiled tests of deleted sources would still run, so every package is built from scratch.
  for (const name of steps.listPackages()) {
    fs.rmSync(path.join(steps.root, name, "dist"), { recursive: true, force: true });
  }
}

/** The environment without the fuzzing command's variables, so that seeds and runs are fixed. */
function createTestEnvironment() {
  const { HEMLOCKWALK_SEED: _seed, HEMLOCKWALK_RUNS: _runs, ...environment } = process.env;
  return environment;
}

function runTests() {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "hemlockwalk-test-"));
  const failuresFile = path.join(folder, "failures.txt");
  const result = childProcess.spawnSync(process.execPath, [
    "--test",
    `--test-concurrency=${TEST_CONCURRENCY}`,
    `--test-timeout=${TEST_TIMEOUT_MILLISECONDS}`,
    "--test-reporter=spec",
    "--test-reporter-destination=stdout",
    "--test-reporter=./scripts/failures_reporter.mjs",
    `--test-reporter-destination=${failuresFile}`,
    ...steps.listTestFiles(),
  ], { cwd: steps.root, stdio: "inherit", env: createTestEnvironment() });
  const failed = fs.readFileSync(failuresFile, "utf8").split("\n").filter((name) => name !== "");
  fs.rmSync(folder, { recursive: true });
  return knownRed.evaluateRun(result.status, failed, knownRed.listKnownRed(steps.root));
}

steps.installIfMissing();
steps.runTool("deno", ["fmt", "--check"]);
steps.runTool("deno", ["lint", "--quiet"]);
cleanOutputs();
steps.runTool("tsc", ["-b"]);
steps.runTool("eslint", ["--max-warnings", "0", "."]);
process.exitCode = runTests() ? 0 : 1;
