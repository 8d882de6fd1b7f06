#!/usr/bin/env bash
# Compiles the stand-ins and the cases of this folder into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
JAVA_HOME=$(bin/find-jdk)
rm -rf target/review
mkdir -p target/review
"$JAVA_HOME/bin/javac" -encoding UTF-8 -d target/review review/standins/review/*.java
