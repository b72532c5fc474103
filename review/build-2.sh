#!/usr/bin/env bash
# Builds the stand-ins of cases 4 to 8 under target/review-2/. Needs the
# packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++17 -O2 -Wall -Wextra -pthread -I.)
g++ "${flags[@]}" -c review/peers/peers.cc -o "$out/peers.o"
for source in review/[4-8]/case.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "$out/peers.o" -o "$out/case-$number"
done
