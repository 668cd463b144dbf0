#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption. Writes record.txt beside this script.
set -u
cd "$(dirname "$0")"
top=$(cd ../.. && pwd)
program=$top/target/review/case-$(basename "$PWD")
entry=$top/target/ibisnotch-entry
[ -x "$program" ] && [ -x "$entry" ] || { echo "build the deploy file and review/build.sh first"; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
TROUBLE=${TROUBLE:-1} "$program" "$entry" "$folder"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
