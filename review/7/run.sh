#!/usr/bin/env bash
# Plays the case. Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
node play.js &
pid=$!
trap 'kill -TERM "$pid" 2>/dev/null' TERM INT HUP
wait "$pid"
code=$?
# The wait ends early when a signal comes.
if kill -0 "$pid" 2>/dev/null; then wait "$pid"; code=2; fi
case $code in
  0) exit 0 ;;
  3) exit 1 ;;
  *) exit 2 ;;
esac
