#!/usr/bin/env bash
# CONFIG: the versions of configurations increase in uneven steps. A version above 2147483647 is
# acknowledged by the store and never comes into force.
# TROUBLE=0: the same change as version 2.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
source review/stand-ins-2/fleet.sh

startStore
startEngine desk-b1 bud-a
startEngine desk-d1 deb-a
startEngine desk-g1 gyo-a
kept=$(route kept /kept/ idempotent 2)
putConfig 1 "$kept,$(route dropped /dropped/ idempotent 2)"
startEntry bud-1 budapest bud-a
startEntry deb-1 debrecen deb-a
startEntry gyo-1 gyor gyo-a
waitReady bud-1 deb-1 gyo-1
sleep 6 # ContactMs
askAll() { # ROUND
    local name path
    for name in bud-1 deb-1 gyo-1; do
        for path in kept dropped added; do
            "$bin/client" send "${callerPort[$name]}" GET desk.example "/$path/1" 3 \
                "$1.$path.$name" >>"$record"
        done
    done
}
askAll before
version=$([ "${TROUBLE:-1}" = 0 ] && echo 2 || echo 3000000000)
putConfig "$version" "$kept,$(route added /added/ idempotent 2)"
echo "version $version acknowledged" >>"$record"
sleep 8 # twice ConvergeMs
askAll after
recordRuns

served=$(grep -c '^after.kept.*: 200 ' "$record")
refused=$(grep -c '^after.added.*: 404 ' "$record")
ran=$(grep -c '^server .*: run after.dropped' "$record")
echo "8 s after the acknowledgement: $served of 9 served on the kept route, $refused of 9 refused" \
    "with 404 on the added route, $ran of 9 run on the dropped route" | tee -a "$record"
[ "$served" -gt 0 ] || exit 2
[ "$refused" -eq 0 ] && [ "$ran" -eq 0 ]
