#!/usr/bin/env bash
# Starved: a zone is evacuated, so the requests of its callers go to other regions. Those of a kind
# with long heads, within the limit HeaderBytes, are refused as long as the evacuation lasts.
# TROUBLE=0: the zone is not evacuated.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
source review/stand-ins-2/fleet.sh

startStore
startEngine desk-b1 bud-a
startEngine desk-d1 deb-a
startEngine desk-g1 gyo-a
putConfig 1 "$(route report /report/ idempotent 2),$(route status /status/ idempotent 2)"
startEntry bud-1 budapest bud-a
startEntry deb-1 debrecen deb-a
startEntry gyo-1 gyor gyo-a
waitReady bud-1 deb-1 gyo-1
sleep 6 # ContactMs
headBytes=16300 # HeaderBytes is 16384
ask() { # COUNT ROUND
    "$bin/client" send "${callerPort[bud-1]}" GET desk.example /report/1 "$1" "report.$2" \
        "$headBytes" >>"$record"
    "$bin/client" send "${callerPort[bud-1]}" GET desk.example /status/1 "$1" "status.$2" >>"$record"
}
ask 10 before
if [ "${TROUBLE:-1}" != 0 ]; then
    echo '{}' | "$bin/client" put "$storePort" op/evacuate/bud-a || cannotRun "no evacuation"
    echo "bud-a is evacuated" >>"$record"
fi
sleep 6 # EvacuateMs and more
for round in $(seq 15); do
    ask 10 "after$round"
    sleep 1
done
recordRuns

count() { grep -c "$1" "$record"; }
reports=$(count '^report\.')
reportsServed=$(count '^report\..*: 200 ')
all=$((reports + $(count '^status\.')))
allServed=$((reportsServed + $(count '^status\..*: 200 ')))
echo "$reportsServed of $reports requests with long heads served, $allServed of $all requests" \
    | tee -a "$record"
[ "$allServed" -gt 0 ] && [ "$reports" -gt 0 ] || exit 2
# Not served less than a quarter as often as all.
[ $((4 * reportsServed * all)) -ge $((allServed * reports)) ]
