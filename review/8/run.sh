#!/usr/bin/env bash
# UNASKED: a request whose target ends with an empty query reaches the backend server without it.
# TROUBLE=0: the query is not empty.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
source review/stand-ins-2/fleet.sh

startStore
startEngine desk-b1 bud-a
putConfig 1 "$(route status /status/ idempotent 2)"
startEntry bud-1 budapest bud-a
waitReady bud-1
target=$([ "${TROUBLE:-1}" = 0 ] && echo '/status/7?a=1' || echo '/status/7?')
"$bin/client" send "${callerPort[bud-1]}" GET desk.example "$target" 10 read >>"$record"
recordRuns

ran=$(grep -c '^server .*: run read-' "$record")
changed=$(grep '^server .*: run read-' "$record" | grep -cvF " GET $target at ")
echo "$ran runs, $changed of them with another target than $target" | tee -a "$record"
[ "$ran" -gt 0 ] || exit 2
[ "$changed" -eq 0 ]
