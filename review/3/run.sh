#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: the same without the restart of the sidecar.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
if [ ! -x target/bin/nutmegusherd ] || [ ! -x review/bin/late_report ]; then
    exit 2
fi
timeout --signal=KILL 115 review/bin/late_report "$folder/record.txt"
result=$?
case $result in
0 | 1) exit $result ;;
*) exit 2 ;;
esac
