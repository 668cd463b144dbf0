#!/usr/bin/env bash
# Runs the measurements of docs/MEASUREMENTS.md against the example system. Arguments: sections to
# run, of: through bookings inforce control memory leaving outage processor; none runs all.
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
admin=http://127.0.0.1:20411
home=127.0.0.1:20411,127.0.0.1:20412,127.0.0.1:20413
all=$home,127.0.0.1:20441,127.0.0.1:20442,127.0.0.1:20443
all+=,127.0.0.1:20471,127.0.0.1:20472,127.0.0.1:20473
pid=${systemPids[bp-1]}

setFault() { curl -fs -X PUT "http://127.0.0.1:$1/standin/fault?mode=$2" >/dev/null; }

controlOf() { # processor ms and bytes both ways of bp-1's control loop
    curl -fs $admin/admin/status | sed -E \
        's/.*"bytesReceived":([0-9]+),"bytesSent":([0-9]+),"processorMs":([0-9]+).*/\3 \1 \2/'
}

processorOf() { # ms of processor of the whole process bp-1
    awk -v hz="$(getconf CLK_TCK)" '{print int(($14 + $15) * 1000 / hz)}' "/proc/$pid/stat"
}

costDuring() { # NAME COMMAND...
    local name=$1 before after processor seconds
    shift
    seconds=$(date +%s%N)
    processor=$(processorOf)
    read -ra before <<<"$(controlOf)"
    "$@" >"$folder/cost.log"
    read -ra after <<<"$(controlOf)"
    processor=$(($(processorOf) - processor))
    seconds=$((($(date +%s%N) - seconds) / 1000000))
    echo "$name, $seconds ms: control loop $((after[0] - before[0])) ms of processor," \
        "$(((after[1] - before[1]) * 1000 / seconds)) B/s received," \
        "$(((after[2] - before[2]) * 1000 / seconds)) B/s sent;" \
        "whole process $processor ms of processor," \
        "$(grep VmRSS "/proc/$pid/status" | tr -s '\t ' ' ')"
}

section_through() {
    local kind concurrency engine
    for kind in lookup whole stream; do
        engine=127.0.0.1:20103
        [ $kind != lookup ] || engine=127.0.0.1:20105
        for concurrency in 1 16 64; do
            echo "-- $kind, $concurrency in flight"
            $load run --entry $entry --engine $engine --kind $kind --concurrency $concurrency \
                --seconds 5
        done
    done
}

section_bookings() {
    $load bookings --entry $entry --engine 127.0.0.1:20105 --store $storeAddress --count 300
    echo "-- while the store loses the response to every write"
    setFault 20000 loseAnswers
    $load bookings --entry $entry --engine 127.0.0.1:20105 --store $storeAddress --count 100
    setFault 20000 none
}

section_inforce() {
    $load inforce --store $storeAddress --entries $all --count 30
}

section_control() {
    costDuring idle sleep 60
    costDuring "under load" $load run --entry $entry --engine 127.0.0.1:20103 --kind stream \
        --concurrency 64 --seconds 30
}

section_memory() {
    $load idle --entry $entry --connections 2000 --pid "$pid"
    $load streams --entry $entry --connections 400 --pid "$pid"
}

section_leaving() {
    $load leaving --engine 127.0.0.1:20101 --entries $home
    setFault 20101 none
}

# Every engine of a model fails every request.
section_outage() {
    local port retries requests
    for port in 20103 20104 20203 20204 20303 20304; do
        setFault $port error
    done
    retries=$(counter '^ibisnotch_retries_total ')
    requests=$(counter '^ibisnotch_requests_total{service="dressing-note"')
    $load run --entry $entry --engine 127.0.0.1:20103 --kind whole --concurrency 8 --seconds 3 \
        >/dev/null
    echo "$(($(counter '^ibisnotch_retries_total ') - retries)) retries for" \
        "$(($(counter '^ibisnotch_requests_total{service="dressing-note"') - requests)) requests"
    for port in 20103 20104 20203 20204 20303 20304; do
        setFault $port none
    done
}

counter() { # PATTERN
    curl -fs $admin/metrics | grep -E "${1//\{/\\{}" | awk '{sum += $NF} END {print sum + 0}'
}

# Processor time of the whole instance for each request and token.
section_processor() {
    local kind tokens
    for tokens in 16 160; do
        costDuring "streams of $tokens tokens, 64 in flight" $load run --entry $entry \
            --engine 127.0.0.1:20103 --kind stream --concurrency 64 --tokens $tokens --seconds 10
        grep through "$folder/cost.log" | head -1
    done
    costDuring "lookups, 64 in flight" $load run --entry $entry --engine 127.0.0.1:20105 \
        --kind lookup --concurrency 64 --seconds 10
    grep through "$folder/cost.log" | head -1
}

for section in ${*:-through bookings inforce control memory leaving outage processor}; do
    echo "== $section"
    "section_$section"
done
