#!/usr/bin/env bash
# Runs tests on running processes with an older nutmegusherd beside the one in
# the build folder: tools/check-versions.sh OLD_NUTMEGUSHERD
#
# even, odd: of the processes of a deployment those with an even or an odd
# number run the old program. upgrade: each process runs the old program at its
# first start and the new one from then on, with the data that the old one
# wrote. Then three new control hosts start on a copy of the data folders of an
# old site, and must know its routes and its quarantined request.
set -euo pipefail
cd "$(dirname "$0")/.."
old=$(realpath "${1:?usage: tools/check-versions.sh OLD_NUTMEGUSHERD}")
bin=$(realpath "${BUILD_DIR:-build}/bin")
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkdir "$work/bin" "$work/tmp"
for program in configuration_test at_most_once_test crash_test stand_in_upstream; do
    cp "$bin/$program" "$work/bin/"
done
cp "$old" "$work/bin/nutmegusherd.old"
cp "$bin/nutmegusherd" "$work/bin/nutmegusherd.new"
cat >"$work/bin/nutmegusherd" <<'LAUNCHER'
#!/usr/bin/env bash
settings=$2
digits=${settings##*/}
digits=${digits//[^0-9]/}
case $VERSIONS in
old) version=old ;;
even) [ $((digits % 2)) -eq 0 ] && version=old || version=new ;;
odd) [ $((digits % 2)) -eq 1 ] && version=old || version=new ;;
upgrade)
    version=new
    [ -e "$settings.started" ] || version=old
    : >"$settings.started"
    ;;
esac
echo "$VERSIONS $version" >>"$VERSIONS_LOG"
exec "$0.$version" "$@"
LAUNCHER
chmod +x "$work/bin/nutmegusherd"
export TMPDIR="$work/tmp" VERSIONS_LOG="$work/starts"

verdict=0
run() { # VERSIONS PROGRAM FILTER
    if VERSIONS=$1 "$work/bin/$2" --gtest_filter="$3" >"$work/log" 2>&1; then
        echo "passed  $1  $2 $(grep -c '^\[       OK' "$work/log") tests"
    else
        echo "FAILED  $1  $2"
        grep -E '^\[  FAILED|Failure' "$work/log" | head
        verdict=1
    fi
}
for versions in even odd; do
    run "$versions" configuration_test '*'
    run "$versions" at_most_once_test '*'
    run "$versions" crash_test '*'
done
run upgrade configuration_test '*survives_the_kill*:*restart_after*:*without_control*'
run upgrade at_most_once_test '*daemons_killed*:*control_host_and_its_disk*'
run upgrade crash_test '*restart_of_all_daemons*'

# A site of the old program, copied while it has a quarantined request.
VERSIONS=old "$work/bin/crash_test" --gtest_filter='*restart_of_all_daemons*' \
    >"$work/log" 2>&1 &
site_test=$!
copy="$work/copy"
for _ in $(seq 100); do
    sleep 0.2
    site=$(find "$work/tmp" -maxdepth 1 -name 'nutmegusher-*' | head -n 1)
    if [ -n "$site" ] && grep -qs '"event":404' "$site"/d*.log; then
        sleep 2
        cp -r "$site" "$copy"
        break
    fi
done
wait "$site_test" || echo "the site's own test failed; its data is used all the same"
[ -d "$copy" ] || { echo "FAILED  data: no request was quarantined"; exit 1; }
digest=$(grep -h '"event":404' "$copy"/d*.log | grep -o '"digest":"[0-9a-f]*' | head -n 1)
digest=${digest##*\"}
hosts=()
for host in c0 c1 c2; do
    sed -i "s#^data_folder = .*#data_folder = $copy/$host#" "$copy/$host.ini"
    "$work/bin/nutmegusherd.new" --settings "$copy/$host.ini" >"$copy/$host.new" 2>&1 &
    hosts+=($!)
done
sleep 5
for host in c0 c1 c2; do
    address=$(sed -n 's/^operators = //p' "$copy/$host.ini" | head -n 1)
    routes=$(curl -s -m 5 "http://$address/api/configuration" |
        grep -o '"resource_type":"routes"' | wc -l)
    known=$(curl -s -m 5 "http://$address/v1/quarantine" | grep -c "$digest" || true)
    if [ "$routes" -eq 2 ] && [ "$known" -eq 1 ]; then
        echo "passed  data  $host: 2 routes, request $digest in quarantine"
    else
        echo "FAILED  data  $host: $routes routes, quarantine $known"
        verdict=1
    fi
done
kill "${hosts[@]}"
wait "${hosts[@]}" || { echo "FAILED  data: a control host's exit code"; verdict=1; }
echo "starts:"
sort "$work/starts" | uniq -c
exit "$verdict"
