#!/usr/bin/env bash
# Builds the stand-ins of the review into target/review; needs a JDK 17 only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review review/standins/review/*.java
