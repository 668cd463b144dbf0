#!/usr/bin/env bash
# Runs the measurements of docs/MEASUREMENTS.md against the example system.
set -euo pipefail
cd "$(dirname "$0")/.."
# Engines with many slots, so that the gateway and not their queue is measured.
folder=$(mktemp -d)
cp -r support/example "$folder/example"
sed -i 's/slots: 8/slots: 512/' "$folder"/example/sites/*.yaml
export IBISNOTCH_EXAMPLE="$folder/example" IBISNOTCH_SLOTS=512
source support/system.sh
trap 'systemStop || true; rm -rf "$folder"' EXIT
systemStart "$folder"
load=build/ibisnotch-load
entry=127.0.0.1:20401
peers=127.0.0.1:20411,127.0.0.1:20412,127.0.0.1:20413
peers+=,127.0.0.1:20441,127.0.0.1:20442,127.0.0.1:20443
peers+=,127.0.0.1:20471,127.0.0.1:20472,127.0.0.1:20473

controlOf() { # prints processor ms and bytes both ways of bp-1's control loop
    curl -fs http://127.0.0.1:20411/admin/status \
        | sed -E 's/.*"bytesReceived":([0-9]+),"bytesSent":([0-9]+),"processorMs":([0-9]+).*/\3 \1 \2/'
}

controlCost() { # NAME SECONDS COMMAND...
    local name=$1 seconds=$2
    shift 2
    local before after
    read -ra before <<<"$(controlOf)"
    "$@" >/dev/null
    read -ra after <<<"$(controlOf)"
    echo "control, $name, $seconds s: $((after[0] - before[0])) ms of processor," \
        "$(((after[1] - before[1]) / seconds)) B/s received," \
        "$(((after[2] - before[2]) / seconds)) B/s sent," \
        "$(grep VmRSS "/proc/${systemPids[bp-1]}/status" | tr -s '\t ' ' ')"
}

echo "== through the gateway against direct calls"
for kind in lookup whole stream; do
    for concurrency in 1 16 64; do
        echo "-- $kind, $concurrency under way"
        engine=127.0.0.1:20103
        [ $kind != lookup ] || engine=127.0.0.1:20105
        $load run --entry $entry --engine $engine --kind $kind --concurrency $concurrency --seconds 5
    done
done
echo "== bookings"
$load bookings --entry $entry --engine 127.0.0.1:20105 --store $storeAddress --count 300
echo "== bookings while the store loses the answer of every write"
curl -fs -X PUT "http://$storeAddress/standin/fault?mode=loseAnswers" >/dev/null
$load bookings --entry $entry --engine 127.0.0.1:20105 --store $storeAddress --count 100
curl -fs -X PUT "http://$storeAddress/standin/fault?mode=none" >/dev/null
echo "== configuration"
$load inforce --store $storeAddress --entries $peers --count 30
echo "== control cost of one instance"
controlCost idle 60 sleep 60
controlCost "under load" 60 $load run --entry $entry --engine 127.0.0.1:20103 --kind stream \
    --concurrency 64 --seconds 30
echo "== memory"
pid=${systemPids[bp-1]}
$load idle --entry $entry --connections 2000 --pid "$pid"
$load streams --entry $entry --connections 400 --pid "$pid"
echo "== leaving"
$load leaving --engine 127.0.0.1:20101 --entries ${peers%%,127.0.0.1:2044*}
echo "== retries in a full outage: every engine of the model fails every request"
for port in 20103 20104 20203 20204 20303 20304; do
    curl -fs -X PUT "http://127.0.0.1:$port/standin/fault?mode=error" >/dev/null
done
retries() { curl -fs http://127.0.0.1:20411/metrics | sed -n 's/^ibisnotch_retries_total //p'; }
attempted() {
    curl -fs http://127.0.0.1:20411/metrics \
        | sed -n 's/^ibisnotch_requests_total{service="dressing-note".*} //p' | paste -sd+ | bc
}
retriesBefore=$(retries) requestsBefore=$(attempted)
$load run --entry $entry --engine 127.0.0.1:20103 --kind whole --concurrency 8 --seconds 3 >/dev/null
echo "$(($(retries) - retriesBefore)) retries for $(($(attempted) - requestsBefore)) requests"
