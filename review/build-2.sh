#!/usr/bin/env bash
# Builds the stand-ins and cases 6 to 10 of the review into target/review-2/.
# Needs the packages of deploy/system.toml only. The node itself is built by the
# build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o target/review-2/lab review/harness-2/*.cc
