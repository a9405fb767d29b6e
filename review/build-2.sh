#!/usr/bin/env bash
# Checks the stand-ins that the scripts of cases 6 to 10 start. They are plain JavaScript and need no build.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib2/*.js {6,7,8,9,10}/play.js; do node --check "$file"; done
