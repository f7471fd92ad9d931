#!/bin/sh
# Starts the simulated platform and targets and the hosts of an example on
# loopback and waits for three hosts; Ctrl-C stops all processes.
set -eu
python=${PYTHON:-python3}
deployment=${1:-bagmati}
directory=run/$deployment

"$python" examples/prepare.py "$deployment" --output "$directory"

standin_pids=
stop() {
    trap - INT TERM EXIT
    echo
    echo "stopping"
    # Stop hosts first: their planned stop needs the platform and the targets.
    for pid in $host_pids; do kill "$pid" 2>/dev/null || true; done
    for pid in $host_pids; do wait "$pid" 2>/dev/null || true; done
    for pid in $standin_pids; do kill "$pid" 2>/dev/null || true; done
    wait
    echo "stopped; logs are in $directory"
    exit 0
}
host_pids=
trap stop INT TERM EXIT

while read -r command; do
    set -- $command
    log=$directory/$(echo "$*" | tr -c 'A-Za-z0-9\n' '-' | cut -c1-60).log
    case $1 in
    samphirestand.daemon)
        "$python" -m "$@" 2>"$log" &
        host_pids="$host_pids $!"
        ;;
    *)
        "$python" -m "$@" >"$log" 2>&1 &
        standin_pids="$standin_pids $!"
        ;;
    esac
done <"$directory/processes"

echo "waiting for the hosts to become ready"
for port in 7101 7102 7103; do
    attempts=0
    until curl -sf "http://127.0.0.1:$port/v1/health" >/dev/null 2>&1; do
        attempts=$((attempts + 1))
        if [ "$attempts" -gt 150 ]; then
            echo "the host on port $port isn't ready, see $directory" >&2
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
The hosts are ready. To send a statement:

  curl -s http://127.0.0.1:7101/v1/statements \\
    -H "Authorization: Bearer \$(cat $directory/$account.key)" \\
    -d '{"service": "$service", "statement": "SET case-1 open",
         "mode": "write", "request_id": "first-1"}'

To show the routes:

  $(dirname "$python")/samphirestand --host http://127.0.0.1:7101 \\
    --key-file $directory/operator.key SHOW ROUTES

Press Ctrl-C to stop all processes.
TEXT
wait
