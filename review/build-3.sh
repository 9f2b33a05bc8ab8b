#!/usr/bin/env bash
# Builds what the scripts of the third review start, beside the program of the
# deploy file: the project's stand-ins, and the driver of each case. All of it
# goes to target/review-3. Needs the packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p target

cmake -S review/standins-3 -B "$out" -G Ninja -DCMAKE_BUILD_TYPE=Release \
  >"$out.log" 2>&1 ||
  { cat "$out.log"; exit 1; }
cmake --build "$out" --target thornplank_standin -j"$(nproc)" >>"$out.log" 2>&1 ||
  { tail -n 50 "$out.log"; exit 1; }

for source in review/*/driver-3.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++17 -O1 -Wall -Wextra -o "$out/case-$number" "$source" -lpthread
done
echo "built into $out"
