/**
 * `npm run slopes`: builds, then measures the cost of the control plane for a VM by
 * fleet size.
 */

import process from "node:process";
import * as steps from "./steps.mjs";

steps.installIfMissing();
steps.runTool("tsc", ["-b"]);
steps.run("node", ["packages/measure/dist/src/slopes_main.js", ...process.argv.slice(2)]);
