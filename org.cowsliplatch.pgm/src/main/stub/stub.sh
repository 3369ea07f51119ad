#!/bin/sh
# Runs the jar that is appended to this script. JAVA_OPTS is passed to the JVM.
exec java ${JAVA_OPTS} -Djava.util.logging.manager=org.jboss.logmanager.LogManager -jar "$0" "$@"
exit 1
