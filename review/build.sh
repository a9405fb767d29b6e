#!/usr/bin/env bash
# The stand-ins and clients of the scripts are plain JavaScript on Node's own modules: there is nothing to compile, so this only checks them.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.js [1-5]/*.js; do
  [ -f "$file" ] && node --check "$file"
done
