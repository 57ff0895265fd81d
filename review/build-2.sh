#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2. Needs g++ only; run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o target/review-2/fleet review/standin-2/fleet.cc
