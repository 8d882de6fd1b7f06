#!/usr/bin/env bash
# Builds what deploy/system.toml runs into target/: the jars, a runtime and a class-data archive.
set -euo pipefail
cd "$(dirname "$0")/.."
JAVA_HOME=$(bin/find-jdk)
export JAVA_HOME
mvn --batch-mode --quiet -T 1C -DskipTests -Dcheckstyle.skip -Dspotless.check.skip \
  -pl platform -am package

app=target/app
rm -rf "$app" target/rt
mkdir -p "$app"
cp platform/target/lib/*.jar platform/target/mustardlatch-platform-*.jar "$app"

"$JAVA_HOME/bin/jlink" --add-modules \
  java.base,java.logging,java.management,java.sql,jdk.unsupported,jdk.net,jdk.management \
  --no-header-files --no-man-pages --strip-debug --output target/rt
target/rt/bin/java -Xshare:dump -XX:+UseSerialGC >"$app/dump.log" 2>&1

# The jars that the data path loads classes from come first; look-ups go through them in order.
first=$(ls "$app"/mustardlatch-{gateway,platform,core,wire,daemon}-*.jar "$app"/netty-*.jar \
  "$app"/rxjava-*.jar "$app"/protobuf-java-*.jar "$app"/jackson-*.jar "$app"/tinylog-*.jar | tr '\n' ':')
rest=$(ls "$app"/*.jar | tr '\n' ':')
{
  printf '%s\n' -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xms24m -Xmx96m -Xss256k \
    -XX:+ExitOnOutOfMemoryError \
    -XX:MaxMetaspaceSize=64m -XX:ReservedCodeCacheSize=24m -XX:-UsePerfData \
    -Dio.netty.noUnsafe=true -Dio.netty.allocator.type=unpooled \
    -Dio.netty.leakDetection.level=disabled -Djava.net.preferIPv4Stack=true
  printf -- '-cp\n%s\n' "$first$rest"
} >"$app/java.args"

# A run that loads the classes of a start, of joining a peer and of a request; the archive maps them
# at every later start. The JDK compiles and runs the program from its source.
mkdir -p target/training
"$JAVA_HOME/bin/java" deploy/TrainingRun.java target/training \
  "-XX:ArchiveClassesAtExit=$app/classes.jsa" target/rt/bin/java "@$app/java.args"
# The node writes the archive while it exits, and runs without one if that fails.
if [ ! -s "$app/classes.jsa" ]; then
  echo "error: the training run wrote no archive, see target/training/training.log" >&2
  exit 1
fi
echo "-XX:SharedArchiveFile=$app/classes.jsa" >>"$app/java.args"
