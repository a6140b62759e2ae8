/**
 * Generates the pages whose contents come from the code. Runs after the build.
 */

import * as fs from "node:fs";
import * as logPage from "../packages/kernel/dist/src/log_page.js";

fs.writeFileSync(
  new URL("../docs/operators/log_messages.md", import.meta.url),
  logPage.formatLogPage(),
);
