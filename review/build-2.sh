#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/6 to review/10 start, into target/review-2. Run
# it after the build of the deploy file; it needs the JDK and nothing from the network.
set -euo pipefail
cd "$(dirname "$0")/.."
JAVA_HOME=$(bin/find-jdk)
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -encoding UTF-8 -nowarn -d target/review-2 review/standins-2/*.java
