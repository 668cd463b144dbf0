#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for scenario in review/[0-9]/scenario.cc; do
    case=$(basename "$(dirname "$scenario")")
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -I review/stand-ins \
        review/stand-ins/*.cc "$scenario" -o "target/review/case-$case"
done
