/**
 * `npm run report`: builds, then renders measured results as charts.
 */

import process from "node:process";
import * as steps from "./steps.mjs";

steps.installIfMissing();
steps.runTool("tsc", ["-b"]);
steps.run("node", ["packages/measure/dist/src/report_main.js", ...process.argv.slice(2)]);
