/**
 * Steps that the scripts share. Uses only Node.js, since packages may not be installed yet.
 */

import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as path from "node:path";
import process from "node:process";
import * as url from "node:url";

/** Root folder of the repository. */
export const root = path.dirname(path.dirname(url.fileURLToPath(import.meta.url)));

/** Runs a command in the root folder; a failure ends the script with the command's exit code. */
export function run(command, commandArguments) {
  process.stdout.write(`> ${command} ${commandArguments.join(" ").slice(0, 120)}\n`);
  const result = childProcess.spawnSync(command, commandArguments, {
    cwd: root,
    stdio: "inherit",
  });
  if (result.status !== 0) {
    process.exit(result.status ?? 1);
  }
}

/** Installs the packages of the lock file unless they are installed and up to date. */
export function installIfMissing() {
  const installed = path.join(root, "node_modules", ".package-lock.json");
  const lock = path.join(root, "package-lock.json");
  if (!fs.existsSync(installed) || fs.statSync(installed).mtimeMs < fs.statSync(lock).mtimeMs) {
    run("npm", ["ci", "--no-audit", "--no-fund"]);
  }
}

/** Runs a tool from the installed packages. */
export function runTool(tool, toolArguments) {
  run("npx", ["--no-install", tool, ...toolArguments]);
}

/** Lists the folders of all packages, relative to the root folder. */
export function listPackages() {
  const names = fs.readdirSync(path.join(root, "packages")).sort();
  return [...names.map((name) => path.join("packages", name)), "platform"];
}

/** Lists the compiled test files of all packages. */
export function listTestFiles() {
  const files = [];
  for (const name of listPackages()) {
    const folder = path.join(root, name, "dist", "test");
    if (!fs.existsSync(folder)) {
      continue;
    }
    for (const file of fs.readdirSync(folder, { recursive: true }).sort()) {
      if (file.endsWith("_test.js")) {
        files.push(path.join(name, "dist", "test", file));
      }
    }
  }
  return files;
}
