#!/usr/bin/env bash
# Installs the Debian packages that the build needs, unless they are installed already.
set -euo pipefail

packages=(
    g++ cmake ninja-build pkg-config clang-format clang-tidy
    librestinio-dev libasio-dev libhttp-parser-dev libfmt-dev libexpected-dev
    libcurl4-openssl-dev libssl-dev libcereal-dev libboost-dev libyaml-cpp-dev
    nlohmann-json3-dev libpopt-dev liblog4cxx-dev libabsl-dev libxxhash-dev liburcu-dev
    catch2 libtrompeloeil-cpp-dev librapidcheck-dev curl
)

missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' \
        || missing+=("$package")
done
if [ ${#missing[@]} -eq 0 ]; then
    echo "packages: nothing to install"
    exit 0
fi
echo "packages: installing ${missing[*]}"
apt-get update -q
DEBIAN_FRONTEND=noninteractive apt-get install -q -y --no-install-recommends "${missing[@]}"
