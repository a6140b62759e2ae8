/**
 * Bundles the program for the platform into one file under target/.
 */

import * as path from "node:path";
import process from "node:process";
import * as esbuild from "esbuild";
import * as steps from "./steps.mjs";

await esbuild.build({
  entryPoints: [path.join(steps.root, "platform/src/main.ts")],
  outfile: path.join(steps.root, "target/hemlockwalk.mjs"),
  bundle: true,
  minify: process.argv.includes("--minify"),
  platform: "node",
  target: "node20",
  format: "esm",
  conditions: ["source"],
  // Optional parts of the logging library and of the WebSocket library, which are not used.
  external: ["dtrace-provider", "bufferutil", "utf-8-validate"],
  banner: {
    js: "import { createRequire as __createRequire } from 'node:module';" +
      "const require = __createRequire(import.meta.url);",
  },
  logLevel: "warning",
});
