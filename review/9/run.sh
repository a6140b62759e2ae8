#!/bin/sh
# With TROUBLE=0 it plays the same without the disruption.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")" && exec node run.mjs
