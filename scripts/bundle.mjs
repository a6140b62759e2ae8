/**
 * `node scripts/bundle.mjs [FILE]`: bundles the program for the platform into one file, by default
 * target/hemlockwalk.mjs.
 */

import * as path from "node:path";
import process from "node:process";
import * as esbuild from "esbuild";
import * as steps from "./steps.mjs";

/** Modules that libraries load at startup and that the program never uses. */
const UNUSED_MODULES = [
  /prom-client.lib.(cluster|pushgateway|defaultMetrics)$/,
  /hdr-histogram-js.dist.(HistogramLogReader|HistogramLogWriter|encoding|wasm)$/,
];

/** Replaces unused modules by stubs, since loading them would slow down each start of a VM. */
const unusedModules = {
  name: "unused-parts",
  setup(build) {
    build.onResolve({ filter: /^\.{1,2}\// }, (resolved) => {
      const file = path.resolve(resolved.resolveDir, resolved.path);
      const isUnused = UNUSED_MODULES.some((pattern) => pattern.test(file));
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
  plugins: [unusedModules],
  platform: "node",
  target: "node20",
  format: "esm",
  conditions: ["source"],
  // Optional dependencies of the logging and WebSocket libraries, which are not used.
  external: ["dtrace-provider", "bufferutil", "utf-8-validate"],
  banner: {
    js: "import { createRequire as __createRequire } from 'node:module';" +
      "const require = __createRequire(import.meta.url);",
  },
  logLevel: "warning",
});
