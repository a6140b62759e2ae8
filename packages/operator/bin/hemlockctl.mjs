#!/usr/bin/env node
/**
 * Entry point of the `hemlockctl` binary. It is not part of the compiled output, since npm links
 * only files that exist at install time, and the build runs later.
 */

import "../dist/src/main.js";
