#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2/. Needs the
# packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
g++ -std=c++17 -O1 -Wall -Wextra -pthread review/standin-2/scene.cpp \
  -o target/review-2/scene
