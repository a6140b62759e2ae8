/**
 * `npm run slopes`: builds, then measures what control costs a VM by the size of the fleet.
 */

import process from "node:process";
import * as steps from "./steps.mjs";

steps.installIfMissing();
steps.runTool("tsc", ["-b"]);
steps.run("node", ["packages/measure/dist/src/slopes_main.js", ...process.argv.slice(2)]);
