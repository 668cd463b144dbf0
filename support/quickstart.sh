#!/usr/bin/env bash
# Installs, builds, starts the example system on 127.0.0.1, sends one request of each kind, and stops.
set -euo pipefail
cd "$(dirname "$0")/.."
support/install.sh
support/build.sh
source support/system.sh
folder=$(mktemp -d)
trap 'systemStop || true; rm -rf "$folder"' EXIT
systemStart "$folder"
build/ibisnotch-load demo --entry 127.0.0.1:20401
echo "stopping"
trap - EXIT
systemStop
rm -rf "$folder"
echo "done"
