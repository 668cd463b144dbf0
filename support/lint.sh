#!/usr/bin/env bash
# Runs clang-tidy over the sources. The two files that include RESTinio or log4cxx as a whole are
# left out: they take longer than all others together.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files 'src/*.cc' 'src/**/*.cc' 'test/*.cc' 'platform/*.cc' 'platform/test/*.cc' \
    | grep -v -e src/net/http-server.cc -e test/test-main.cc \
    | xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet 2>/dev/null
