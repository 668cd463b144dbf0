#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/review-2. Run after
# the build of the deploy file, which builds the project's own program.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in store engine client; do
    "${CXX:-g++}" -std=c++20 -O1 -pthread -Wall -Wextra -o "target/review-2/$name" \
        "review/stand-ins-2/$name.cc"
done
