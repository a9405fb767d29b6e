#!/usr/bin/env bash
# Starts three nodes, three stand-in workers and a stand-in platform on one machine, as separate processes.
# Run it after `npm ci` and `npm run build`. Ctrl-C stops all processes.
set -euo pipefail
cd "$(dirname "$0")/.."
stand_ins=packages/stand-ins/dist/src/node/main.js
rattanstep=packages/cli/dist/src/node/main.js
platform=127.0.0.1:7900
logs=$(mktemp -d)
nodes=()
others=()
finish () {
  trap - EXIT INT TERM
  # Stop the nodes one after another, so that each can hand its workers over to the remaining nodes.
  for pid in "${nodes[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
    wait "$pid" || true
  done
  for pid in "${others[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait
}
trap finish EXIT
trap 'exit 0' INT TERM

node $stand_ins platform --port 7900 --lag 1000 > "$logs/platform.log" & others+=($!)
for worker in 1 2 3; do
  node $stand_ins worker --id "worker-$worker" --platform $platform --data-centre "jm-south-$worker" --rack "rack-$worker" > "$logs/worker-$worker.log" & others+=($!)
done
until [ -s "$logs/platform.log" ]; do sleep 0.1; done
# The real platform lists every entry instance by itself; the stand-in needs them registered.
for node in 1 2 3; do
  curl -sf "http://$platform/instances/register" -o /dev/null -d "{
    \"id\": \"node-$node\", \"role\": \"entry\", \"state\": \"live\", \"dataCentre\": \"jm-south-$node\", \"rack\": \"entry-$node\",
    \"address\": { \"host\": \"127.0.0.1\", \"port\": 70${node}1 }, \"connections\": 0,
    \"resources\": { \"slots\": 0, \"cores\": 0, \"memory\": 0, \"accelerators\": 0 } }"
done
for settings in node node-2 node-3; do
  node $rattanstep node --settings "examples/$settings.yaml" > "$logs/$settings.log" & nodes+=($!)
done
for control in 7070 7170 7270; do
  until curl -sfo /dev/null "http://127.0.0.1:$control/readyz"; do sleep 0.1; done
done
echo "callers: http://127.0.0.1:8010 http://127.0.0.1:8020 http://127.0.0.1:8030"
echo "operators: export RATTANSTEP_NODE=127.0.0.1:7070 RATTANSTEP_SECRET=change-me-before-winter"
echo "logs: $logs"
wait
