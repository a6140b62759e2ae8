#!/bin/sh
# The stand-ins of cases 6 to 10 are plain JavaScript; this checks that each can be loaded.
set -eu
cd "$(dirname "$0")"
for file in lib-2/*.mjs 6/run.mjs 7/run.mjs 8/run.mjs 9/run.mjs 10/run.mjs; do
  [ ! -f "$file" ] || node --check "$file"
done
