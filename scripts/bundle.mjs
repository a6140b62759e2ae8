/**
 * `node scripts/bundle.mjs [FILE]`: bundles the program for the platform into a file, by default
 * target/hemlockwalk.mjs, and a folder of its parts beside it.
 */

import * as fs from "node:fs";
import * as path from "node:path";
import process from "node:process";
import * as esbuild from "esbuild";
import * as steps from "./steps.mjs";

const EXTENSION = ".mjs";

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

const outputFile = path.resolve(process.argv[2] ?? path.join(steps.root, "target/hemlockwalk.mjs"));
const name = path.basename(outputFile, EXTENSION);
const parts = `${name}_parts`;
// The names of parts contain hashes, so those of earlier builds would stay.
fs.rmSync(path.join(path.dirname(outputFile), parts), { recursive: true, force: true });

await esbuild.build({
  entryPoints: [{ in: path.join(steps.root, "platform/src/start.ts"), out: name }],
  outdir: path.dirname(outputFile),
  outExtension: { ".js": EXTENSION },
  // The entry is small, so that it runs before the rest of the program is loaded.
  splitting: true,
  chunkNames: `${parts}/[name]-[hash]`,
  bundle: true,
  minify: true,
  keepNames: true,
  plugins: [unusedModules],
  platform: "node",
  target: "node20",
  format: "esm",
  conditions: ["source"],
  // Its main file loads its parts by a function that the bundler does not see.
  alias: { "jsonc-parser": "jsonc-parser/lib/esm/main.js" },
  // Optional dependencies of the logging and WebSocket libraries, which are not used.
  external: ["dtrace-provider", "bufferutil", "utf-8-validate"],
  banner: {
    js: "import { createRequire as __createRequire } from 'node:module';" +
      "const require = __createRequire(import.meta.url);",
  },
  logLevel: "warning",
});
