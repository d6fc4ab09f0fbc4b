#!/usr/bin/env bash
# Builds the program that the scripts of review/6 to review/10 start. It holds the
# stand-ins for the store, the targets and the clients, and starts the daemons.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -tags review -o target/review-fleet2 ./review/fleet2
