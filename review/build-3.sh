#!/bin/bash
# Builds the stand-ins of review/11 to review/15 with the compiler of the JDK; writes to target/review-3 only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -Xlint:-options -d target/review-3 review/stand-ins-3/*.java
