#!/usr/bin/env bash
# Checks that the scripts of the third review can run: their stand-ins are plain JavaScript on Node.js without dependencies, so nothing has to be built.
set -eu
cd "$(dirname "$0")/.."
test -f target/rattanstep.cjs || { echo 'target/rattanstep.cjs is missing: run the build command of the deploy file first' >&2; exit 1; }
for file in review/lib3/*.js review/1[1-5]/run.js; do node --check "$file"; done
