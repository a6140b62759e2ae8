/**
 * `npm test`: installs what is missing, checks the format, lints, builds and runs all tests.
 */

import * as fs from "node:fs";
import * as path from "node:path";
import * as steps from "./steps.mjs";

steps.installIfMissing();
steps.runTool("deno", ["fmt", "--check"]);
steps.runTool("deno", ["lint", "--quiet"]);
// Outputs of deleted sources would go on being tested, so every package is built from nothing.
for (const name of fs.readdirSync(path.join(steps.root, "packages"))) {
  fs.rmSync(path.join(steps.root, "packages", name, "dist"), { recursive: true, force: true });
}
steps.runTool("tsc", ["-b"]);
steps.runTool("eslint", ["--max-warnings", "0", "."]);
steps.run("node", [
  "--test",
  "--test-reporter=spec",
  "--test-concurrency=4",
  ...steps.listTestFiles(),
]);
