#!/bin/sh
# Builds the programs of the cases 11 to 15 into target/review-3/, beside the
# deploy file's program.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standins-3/*_main.cpp; do
  name=$(basename "$source" _main.cpp)
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" review/standins-3/kit.cpp \
    -o "target/review-3/$name"
done
