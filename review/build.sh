#!/bin/bash
# Builds the stand-ins of the scripts in review/. Needs a C++17 compiler and the
# header of nlohmann_json, both of which the deploy file lists.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++17 -O2 -Wall -Wextra -pthread -o target/review/scene review/standin/scene.cpp
