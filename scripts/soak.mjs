/**
 * `npm run soak -- [--seed N] [--seeds N] [--minutes N]`: builds, then runs the real program under
 * injected faults.
 */

import process from "node:process";
import * as steps from "./steps.mjs";

steps.installIfMissing();
steps.runTool("tsc", ["-b"]);
steps.run("node", ["scripts/bundle.mjs"]);
steps.run("node", ["platform/dist/soak/main.js", ...process.argv.slice(2)]);
