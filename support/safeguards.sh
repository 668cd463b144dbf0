#!/usr/bin/env bash
# Removes one safeguard at a time, in a copy of the tree, and checks that its test then fails.
# Slow: the copy is built again for each. Arguments: parts of the names to run; none runs all.
set -euo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files | tar cf - -T - | tar xf - -C "$copy"
cmake -S "$copy" -B "$copy/build" -G Ninja -DIBISNOTCH_WERROR=OFF >/dev/null
cmake --build "$copy/build" >/dev/null

replace() { # FILE WITH WITHOUT
    WITH=$2 WITHOUT=$3 perl -0pi -e '
        my ($with, $without) = ($ENV{WITH}, $ENV{WITHOUT});
        s/\\n/\n/g for $with, $without;
        s/\Q$with\E/$without/g or die "not found: $with\n"' "$copy/$1"
}

field() { sed -n "s/^$1: //p" <<<"$block" | head -1; }

bad=0
while IFS= read -r -d '' block; do
    name=$(field name)
    [ -n "$name" ] || continue
    wanted=$([ $# -eq 0 ] && echo yes || true)
    for word in "$@"; do [[ $name != *"$word"* ]] || wanted=yes; done
    [ -n "$wanted" ] || continue
    file=$(field file)
    read -r program testCase <<<"$(field test)"
    folder=$([[ $program == platform-* ]] && echo platform-test || echo test)
    cp "$copy/$file" "$copy/original"
    if ! replace "$file" "$(field with)" "$(field without)" \
        || { [ -n "$(field also)" ] && ! replace "$file" "$(field also)" "$(field alsoWithout)"; }; then
        echo "NOT FOUND       $name"; bad=1
    elif ! cmake --build "$copy/build" >"$copy/build.log" 2>&1; then
        echo "DOES NOT BUILD  $name"; grep -m2 error "$copy/build.log" || true; bad=1
    elif RC_PARAMS="seed=20261203 max_success=400" timeout 200 \
        "$copy/build/$folder/$program" "$testCase" --rng-seed 1 >"$copy/test.log" 2>&1; then
        echo "STILL PASSES    $name ($testCase)"; bad=1
    else
        last=$(grep -E '^ *(RC_ASSERT|CHECK|CHECK_FALSE|REQUIRE|REQUIRE_FALSE|timed out waiting until)' "$copy/test.log" \
            | head -1 | sed 's/^ *//' || true) # none if the test was ended for its time
        echo "fails without   $name ($testCase): $last"
    fi
    cp "$copy/original" "$copy/$file"
done < <(awk 'BEGIN{RS="";ORS="\0"} !/^#/ || /\nname:/ {print}' support/safeguards.txt)
exit $bad
