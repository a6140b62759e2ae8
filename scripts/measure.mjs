/**
 * `npm run measure`: builds, then runs the experiment tool with the given arguments.
 */

import process from "node:process";
import * as steps from "./steps.mjs";

steps.installIfMissing();
steps.runTool("tsc", ["-b"]);
steps.run("node", ["packages/measure/dist/src/measure_main.js", ...process.argv.slice(2)]);
