#!/usr/bin/env node
/**
 * Starts the binary `hemlockwalk`. It stands beside the compiled program, since npm links only what exists
 * when it installs.
 */

import "../dist/src/main.js";
