#!/bin/sh
# Starts the stand-ins and three hosts on loopback; stops them on Ctrl-C.
set -eu
python=${PYTHON:-python3}
deployment=${1:-bagmati}
folder=run/$deployment

"$python" examples/prepare.py "$deployment" --output "$folder"

pids=
stop() {
    trap - INT TERM EXIT
    echo
    echo "stopping"
    # Hosts first: a planned stop needs the platform and the targets.
    for pid in $host_pids; do kill "$pid" 2>/dev/null || true; done
    for pid in $host_pids; do wait "$pid" 2>/dev/null || true; done
    for pid in $pids; do kill "$pid" 2>/dev/null || true; done
    wait
    echo "stopped; logs are in $folder"
    exit 0
}
host_pids=
trap stop INT TERM EXIT

while read -r command; do
    set -- $command
    log=$folder/$(echo "$*" | tr -c 'A-Za-z0-9\n' '-' | cut -c1-60).log
    case $1 in
    samphirestand.daemon)
        "$python" -m "$@" 2>"$log" &
        host_pids="$host_pids $!"
        ;;
    *)
        "$python" -m "$@" >"$log" 2>&1 &
        pids="$pids $!"
        ;;
    esac
done <"$folder/processes"

echo "waiting for the hosts"
for port in 7101 7102 7103; do
    tries=0
    until curl -sf "http://127.0.0.1:$port/v1/health" >/dev/null 2>&1; do
        tries=$((tries + 1))
        if [ "$tries" -gt 150 ]; then
            echo "the host on port $port didn't become ready, see $folder" >&2
            exit 1
        fi
        sleep 0.2
    done
done

account=stress-office
service=load-cases
if [ "$deployment" = feldwacht ]; then
    account=dispatch
    service=cases-south
fi
cat <<TEXT
ready. Send a first statement:

  curl -s http://127.0.0.1:7101/v1/statements \\
    -H "Authorization: Bearer \$(cat $folder/$account.key)" \\
    -d '{"service": "$service", "statement": "SET case-1 open",
         "mode": "write", "request_id": "first-1"}'

Ask what holds:

  $(dirname "$python")/samphirestand --host http://127.0.0.1:7101 \\
    --key-file $folder/operator.key SHOW ROUTES

Ctrl-C stops everything.
TEXT
wait
