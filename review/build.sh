#!/bin/sh
# Builds the stand-ins that the scripts of this folder start, into target/review.
# Needs what the build of the deploy file needs, and nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  echo "review/build.sh: $source"
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/standin \
    "$source" -o "target/review/case$number"
done
