#!/usr/bin/env node
/**
 * The `hemlockwalk` executable. It is not compiled, since npm links only files that exist when it
 * installs.
 */

import "../dist/src/main.js";
