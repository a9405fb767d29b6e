#!/usr/bin/env bash
# Plays the case. Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" && exec node play.js
