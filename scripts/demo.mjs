/**
 * `npm run demo`: installs and builds what is missing, then runs the demonstration with a
 * small fleet.
 */

import * as steps from "./steps.mjs";

steps.installIfMissing();
steps.runTool("tsc", ["-b"]);
steps.run("node", ["packages/measure/dist/src/demo/demo_main.js"]);
