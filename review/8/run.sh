#!/usr/bin/env bash
# Starved: callers ask for the same lookup again and again. The servers of a zone go down together and
# are back after two seconds. From then on that lookup is refused, for minutes.
# TROUBLE=0: no server crashes.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
source review/stand-ins-2/fleet.sh

startStore
startEngine desk-b1 bud-a
startEngine desk-b2 bud-a
startEngine desk-d1 deb-a
putConfig 1 "$(route board /board/ idempotent 2),$(route status /status/ idempotent 2)"
startEntry bud-1 budapest bud-a
startEntry deb-1 debrecen deb-a
waitReady bud-1 deb-1
seconds=80
"$bin/client" load "${callerPort[bud-1]}" desk.example /board/today 8 board "$seconds" same \
    >"$folder/board.txt" &
pids[board]=$!
"$bin/client" load "${callerPort[bud-1]}" desk.example /status/ 8 status "$seconds" own \
    >"$folder/status.txt" &
pids[status]=$!
sleep 2
if [ "${TROUBLE:-1}" != 0 ]; then
    kill -KILL "${pids[desk-b1]}" "${pids[desk-b2]}"
    echo "desk-b1 and desk-b2 crash" >>"$record"
    sleep 2
    startEngine desk-b1 bud-a
    startEngine desk-b2 bud-a
    echo "desk-b1 and desk-b2 are back" >>"$record"
fi
wait "${pids[board]}" "${pids[status]}"
cat "$folder/board.txt" "$folder/status.txt" >>"$record"
recordRuns

count() { grep -c "$1" "$record"; }
board=$(count '^board-')
boardServed=$(count '^board-.*: 200 ')
all=$((board + $(count '^status-')))
allServed=$((boardServed + $(count '^status-.*: 200 ')))
echo "$boardServed of $board lookups of one kind served, $allServed of $all requests" \
    | tee -a "$record"
[ "$allServed" -gt 0 ] && [ "$board" -gt 0 ] || exit 2
# Not served less than a quarter as often as all.
[ $((4 * boardServed * all)) -ge $((allServed * board)) ]
