#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/target; run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/target
javac -Xlint:all -cp target/baobabspindle.jar -d review/target review/standins/*.java
