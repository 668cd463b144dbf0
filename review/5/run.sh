#!/usr/bin/env bash
# Starved: a backend server crashes and is back after a second. A caller leaves while its request is
# the first one at the restarted server. From then on the instance never uses that server again.
# TROUBLE=0: the server does not crash and no caller leaves.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
source review/stand-ins-2/fleet.sh

startStore
startEngine desk-b1 bud-a
startEngine desk-d1 deb-a
putConfig 1 "$(route ledger /ledger/ idempotent 2 budapest),$(route status /status/ idempotent 2 debrecen)"
startEntry bud-1 budapest bud-a
startEntry deb-1 debrecen deb-a
waitReady bud-1 deb-1
trouble=${TROUBLE:-1}
seconds=80
leaves=$([ "$trouble" = 0 ] && echo "0 0" || echo "5 10")
# One caller of six leaves early, for five seconds.
# shellcheck disable=SC2086
"$bin/client" load "${callerPort[bud-1]}" desk.example /ledger/ 1 ledger "$seconds" own $leaves \
    >"$folder/ledger.txt" &
pids[ledger]=$!
"$bin/client" load "${callerPort[bud-1]}" desk.example /status/ 5 status "$seconds" own \
    >"$folder/status.txt" &
pids[status]=$!
sleep 1
if [ "$trouble" != 0 ]; then
    killProcess desk-b1
    echo "desk-b1 crashes" >>"$record"
    sleep 1
    startEngine desk-b1 bud-a 200 8 # an engine that has just started is slow for some seconds
    echo "desk-b1 is back" >>"$record"
fi
wait "${pids[ledger]}" "${pids[status]}"
cat "$folder/ledger.txt" "$folder/status.txt" >>"$record"
recordRuns

count() { grep -c "$1" "$record"; }
ledger=$(count '^ledger-')
ledgerServed=$(count '^ledger-.*: 200 ')
all=$((ledger + $(count '^status-')))
allServed=$((ledgerServed + $(count '^status-.*: 200 ')))
echo "$ledgerServed of $ledger requests of one kind served, $allServed of $all requests;" \
    "the last one of that kind: $(grep '^ledger-' "$record" | tail -1 | cut -c1-60)" \
    | tee -a "$record"
[ "$allServed" -gt 0 ] && [ "$ledger" -gt 0 ] || exit 2
# Not served less than a quarter as often as all.
[ $((4 * ledgerServed * all)) -ge $((allServed * ledger)) ]
