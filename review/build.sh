#!/usr/bin/env bash
# The stand-ins are plain JavaScript, so there is nothing to compile: checks that all of it parses.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs */play.mjs; do
  node --check "$file"
done
