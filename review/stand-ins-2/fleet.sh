# Starts and stops a small fleet on loopback addresses. Sourced by the scripts of the second review,
# which run in the repository's folder and name their own in `here`. Everything written goes to a temporary folder, which is
# removed at the end; all processes are ended by their ids.
set -u
bin=target/review-2
entry=target/ibisnotch-entry
[ -x "$entry" ] && [ -x "$bin/client" ] || { echo "not built" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
record=$here/record.txt
: >"$record" || exit 2
mapfile -t freePorts < <("$bin/client" ports 40)
declare -A pids=() callerPort=() readyPort=() peerPort=() enginePort=()
seeds=()
nextPort=0

endAll() {
    local pid
    for pid in "${pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null && wait "$pid" 2>/dev/null
    done
    rm -rf "$folder"
}
trap endAll EXIT

cannotRun() { # REASON
    echo "cannot run: $1" | tee -a "$record" >&2
    exit 2
}

takePort() {
    port=${freePorts[$nextPort]:-}
    [ -n "$port" ] || cannotRun "no free port"
    nextPort=$((nextPort + 1))
}

startProcess() { # NAME COMMAND...
    local name=$1
    shift
    "$@" >>"$folder/$name.log" 2>&1 &
    pids[$name]=$!
}

killProcess() { # NAME
    kill -KILL "${pids[$1]}" && wait "${pids[$1]}" 2>/dev/null
    unset "pids[$1]"
}

startStore() {
    takePort
    storePort=$port
    startProcess store "$bin/store" "$storePort"
    for _ in $(seq 50); do
        "$bin/client" remove "$storePort" none && return
        sleep 0.1
    done
    cannotRun "the store does not answer"
}

# Writes the entry of a backend server, as the server itself would.
putEntry() { # ID ZONE
    echo "{\"Service\":\"desk\",\"Addr\":\"127.0.0.1:${enginePort[$1]}\",\"Zone\":\"$2\"," \
        "\"Version\":\"v1\",\"Slots\":64,\"State\":\"ready\",\"WarmupLeftMs\":0,\"Sequence\":1}" \
        | "$bin/client" put "$storePort" "servers/$1" || cannotRun "no entry of $1"
}

startEngine() { # ID ZONE [STATUS [SLOW-S]]
    [ -n "${enginePort[$1]:-}" ] || { takePort; enginePort[$1]=$port; }
    startProcess "$1" "$bin/engine" "${enginePort[$1]}" "$1" "${3:-200}" "${4:-0}"
    sleep 0.2
    putEntry "$1" "$2"
}

# Returns a route of the service "desk".
route() { # NAME PREFIX KIND ATTEMPTS [HOME]
    echo "{\"Name\":\"$1\",\"Host\":\"desk.example\",\"Prefix\":\"$2\",\"Kind\":\"$3\"," \
        "\"TimeoutMs\":3000,\"TargetLatencyMs\":500,\"Priority\":0,\"Service\":\"desk\"," \
        "\"Attempts\":$4,\"Sticky\":false,\"HomeRegions\":[${5:+\"$5\"}]}"
}

putConfig() { # VERSION ROUTES
    echo "{\"Version\":$1,\"Routes\":[$2],\"Services\":[{\"Name\":\"desk\"," \
        "\"HealthPath\":\"/healthz\",\"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false," \
        "\"WarmupS\":0.0,\"WarmupPerS\":0.0}],\"Limits\":{\"HeaderBytes\":16384," \
        "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}" \
        | "$bin/client" put "$storePort" op/config || cannotRun "no configuration"
}

# The settings are deploy/settings.yaml, filled in for a small deployment.
startEntry() { # NAME REGION ZONE
    local addresses=()
    for _ in 1 2 3 4 5 6; do
        takePort
        addresses+=("127.0.0.1:$port")
    done
    callerPort[$1]=${addresses[0]##*:}
    readyPort[$1]=${addresses[1]##*:}
    peerPort[$1]=${addresses[4]##*:}
    seeds+=("\"${addresses[3]}\"")
    cat >"$folder/$1.yaml" <<EOF
interfaces: platform
name: $1
region: $2
dataCentre: $3
callers: "${addresses[0]}"
ready: "${addresses[1]}"
directory: "${addresses[2]}"
gossip: "${addresses[3]}"
peers: "${addresses[4]}"
metrics: "${addresses[5]}"
store: "127.0.0.1:$storePort"
seeds: [$(IFS=,; echo "${seeds[*]}")]
dataCentres:
  bud-a: {region: budapest }
  deb-a: {region: debrecen }
  gyo-a: {region: gyor }
killedAfter: 8s
workers: 1
idleTimeout: 20s
maxConnections: 3000
retries:
  share: 0.2
  slack: 58
buffers:
  memoryMb: 260
warmup:
  factor: 1.5
  slack: 3
serveOn: 2700ms
features:
  regionPlan: true
  prefixWeighing: true
  customerShares: true
  bufferLimits: true
EOF
    startProcess "$1" "$entry" --settings "$folder/$1.yaml"
}

waitReady() { # NAME...
    local name i
    for name in "$@"; do
        for i in $(seq 100); do
            "$bin/client" ready "${readyPort[$name]}" && break
            [ "$i" -lt 100 ] || cannotRun "$name does not become ready"
            sleep 0.1
        done
    done
    sleep 2 # the instances learn of each other and of the servers
}

# Appends what the backend servers ran to the record.
recordRuns() {
    local name
    for name in "${!enginePort[@]}"; do
        sed "s/^/server $name: /" "$folder/$name.log" >>"$record"
    done
}
