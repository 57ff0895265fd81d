#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, into review/out/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p out
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o out/standin standin/main.cc
