#!/usr/bin/env bash
# REFUSED: one of eight backend servers fails two of five bookings with a 503 of its own, after it has
# run them and without saying "not run", while its health checks are good. Callers are told 503,
# which promises that the booking has not run.
# TROUBLE=0: all servers are sound.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
source review/stand-ins-2/fleet.sh

startStore
startEngine desk-b1 bud-a "$([ "${TROUBLE:-1}" = 0 ] && echo 200 || echo 503)"
for i in 2 3 4; do startEngine "desk-b$i" bud-a; done
for i in 1 2 3 4; do startEngine "desk-d$i" deb-a; done
putConfig 1 "$(route order /order/ non_idempotent 2)"
startEntry bud-1 budapest bud-a
startEntry deb-1 debrecen deb-a
waitReady bud-1 deb-1
"$bin/client" send "${callerPort[bud-1]}" POST desk.example /order/1 200 booking >>"$record"
recordRuns

broken=0
while read -r id; do
    grep -q "^server .*: run $id " "$record" && broken=$((broken + 1))
done < <(sed -n 's/^\(booking-[0-9]*\): \(503\|429\|408\|421\) .*/\1/p' "$record")
answered=$(grep -c '^booking-[0-9]*: [1-5]' "$record")
echo "$answered answered; $broken bookings were refused as not run and have run" | tee -a "$record"
[ "$answered" -gt 0 ] || exit 2
[ "$broken" -eq 0 ]
