/**
 * `node scripts/bundle.mjs [FILE]`: bundles the program for the platform into one file, under target/
 * unless another one is named.
 */

import * as path from "node:path";
import process from "node:process";
import * as esbuild from "esbuild";
import * as steps from "./steps.mjs";

/** Parts of libraries that load at their start and that the program never uses. */
const UNUSED_PARTS = [
  /prom-client.lib.(cluster|pushgateway|defaultMetrics)$/,
  /hdr-histogram-js.dist.(HistogramLogReader|HistogramLogWriter|encoding|wasm)$/,
];

/** Leaves unused parts out, since each start of a VM would pay for them. */
const unusedParts = {
  name: "unused-parts",
  setup(build) {
    build.onResolve({ filter: /^\.{1,2}\// }, (resolved) => {
      const file = path.resolve(resolved.resolveDir, resolved.path);
      const isUnused = UNUSED_PARTS.some((part) => part.test(file));
      return isUnused ? { path: file, namespace: "unused" } : undefined;
    });
    build.onLoad({ filter: /.*/, namespace: "unused" }, () => ({
      contents: "module.exports = { initWebAssembly() {}, webAssemblyReady() {} };",
    }));
  },
};

await esbuild.build({
  entryPoints: [path.join(steps.root, "platform/src/main.ts")],
  outfile: process.argv[2] ?? path.join(steps.root, "target/hemlockwalk.mjs"),
  bundle: true,
  minify: true,
  keepNames: true,
  plugins: [unusedParts],
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
