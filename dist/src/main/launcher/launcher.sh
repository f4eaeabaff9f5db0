#!/bin/sh
export MALLOC_ARENA_MAX=2
exec java $BAOBABSPINDLE_JAVA_OPTIONS -Xmx${BAOBABSPINDLE_HEAP:-40m} -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:ReservedCodeCacheSize=24m -Xshare:auto -jar "$0" "$@"
