#!/usr/bin/env bash
# Starts and stops the example system: a store, twelve model engines, three application engines and
# nine entry instances in three regions, all on 127.0.0.1. Sourced by other scripts.
#
#   systemStart FOLDER    starts everything, logs and settings in FOLDER, and applies the example
#   systemStop            stops all gracefully; fails if an entry instance did not stop cleanly

bin="${IBISNOTCH_BIN:-build}"
example="${IBISNOTCH_EXAMPLE:-support/example}"
slots="${IBISNOTCH_SLOTS:-8}"
storeAddress=127.0.0.1:20000
declare -A systemPids=()
regions=(budapest debrecen gyor)
prefixes=(bp de gy)
engineBases=(20100 20200 20300)

startProcess() { # NAME COMMAND...
    local name=$1
    shift
    "$@" >"$systemFolder/$name.log" 2>&1 &
    systemPids[$name]=$!
}

entrySettings() { # REGION-INDEX NUMBER
    local prefix=${prefixes[$1]} base=$((20400 + $1 * 30 + $2))
    cat <<EOF
name: $prefix-$2
region: ${regions[$1]}
dataCentre: $prefix-a
callers: "127.0.0.1:$base"
peers: "127.0.0.1:$((base + 10))"
gossip: "127.0.0.1:$((base + 20))"
store: "$storeAddress"
seeds: ["127.0.0.1:20421", "127.0.0.1:20451", "127.0.0.1:20481"]
drainTime: 20s
EOF
}

startEngines() { # REGION-INDEX
    local prefix=${prefixes[$1]} base=${engineBases[$1]}
    startProcess "$prefix-m1" "$bin/standin-engine" -p $((base + 1)) -n "$prefix-m1" -m digest-7b -s "$slots"
    startProcess "$prefix-m2" "$bin/standin-engine" -p $((base + 2)) -n "$prefix-m2" -m digest-7b -s "$slots"
    startProcess "$prefix-m3" "$bin/standin-engine" -p $((base + 3)) -n "$prefix-m3" -m note-1b -s "$slots"
    startProcess "$prefix-m4" "$bin/standin-engine" -p $((base + 4)) -n "$prefix-m4" -m note-1b -s "$slots"
    startProcess "$prefix-a1" "$bin/standin-engine" -p $((base + 5)) -n "$prefix-a1" -s 256
}

startEntry() { # REGION-INDEX NUMBER
    local name=${prefixes[$1]}-$2
    entrySettings "$1" "$2" >"$systemFolder/$name.yaml"
    startProcess "$name" "$bin/ibisnotch-entry" --settings "$systemFolder/$name.yaml"
}

waitReady() { # PORT
    for _ in $(seq 200); do
        curl -fs -o /dev/null "http://127.0.0.1:$1/readyz" && return 0
        sleep 0.05
    done
    echo "port $1 is not ready" >&2
    return 1
}

systemStart() {
    systemFolder=$1
    mkdir -p "$systemFolder"
    startProcess store "$bin/standin-store" -p 20000
    local region number
    for region in 0 1 2; do
        startEngines $region
        for number in 1 2 3; do
            startEntry $region $number
        done
    done
    for _ in $(seq 100); do
        "$bin/ibisnotchctl" --store "$storeAddress" --author quickstart --note "first version" \
            apply "$example" >"$systemFolder/apply.log" 2>&1 && break
        sleep 0.1
    done
    cat "$systemFolder/apply.log"
    for region in 0 1 2; do
        for number in 1 2 3; do
            waitReady $((20400 + region * 30 + number))
        done
    done
}

stopProcess() { # NAME
    local pid=${systemPids[$1]:-}
    [ -n "$pid" ] || return 0
    unset "systemPids[$1]"
    kill -TERM "$pid" 2>/dev/null || true
    wait "$pid"
}

systemStop() {
    local name bad=0
    local entries=()
    for name in "${!systemPids[@]}"; do
        case $name in *-[123]) entries+=("$name") ;; esac
    done
    # All entry instances are signalled first, so that they drain at the same time.
    for name in "${entries[@]}"; do
        kill -TERM "${systemPids[$name]}" 2>/dev/null || true
    done
    for name in "${entries[@]}"; do
        stopProcess "$name" || { echo "$name did not stop cleanly" >&2; bad=1; }
    done
    for name in "${!systemPids[@]}"; do
        stopProcess "$name" || true
    done
    return $bad
}
