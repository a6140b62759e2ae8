/**
 * `npm run demo`: installs and builds what is missing, then shows a small fleet at work.
 */

import * as steps from "./steps.mjs";

steps.installIfMissing();
steps.runTool("tsc", ["-b"]);
steps.run("node", ["packages/measure/dist/src/demo/demo_main.js"]);
