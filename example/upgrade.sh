#!/bin/sh
# Starts a server, puts a little load on it, and starts a new process in its place: no request goes unheard. Run it from the
# repository's root. It ends what it started.
set -eu
TMPDIR=$(mktemp -d) && export TMPDIR
trap 'rm -f "$TMPDIR/go"; kill $toy $new 2>/dev/null; wait; rm -rf "$TMPDIR"' EXIT
go build -o "$TMPDIR" ./example/toy ./cmd/pewterline
ready() { until curl -sf "http://$1/control/ready" > "$TMPDIR/out"; do sleep 0.05; done; }

"$TMPDIR/toy" -listen 127.0.0.1:9300 -work 20ms 2> "$TMPDIR/toy.log" & toy=$!
RELAY_CONFIG=example/config.json RELAY_ADMIN=127.0.0.1:4190 "$TMPDIR/pewterline" & old=$!
ready 127.0.0.1:4190

touch "$TMPDIR/go"
(
	i=0
	while [ -e "$TMPDIR/go" ]; do
		i=$((i + 1))
		"$TMPDIR/toy" -send 127.0.0.1:4100 -class lot-intake -once "basket-$i" > "$TMPDIR/answer" || echo "basket-$i went unheard"
	done
	echo "$i baskets sent"
) & load=$!

sleep 2
RELAY_CONFIG=example/config.json RELAY_ADMIN=127.0.0.1:4191 "$TMPDIR/pewterline" & new=$!
ready 127.0.0.1:4191
kill -TERM "$old"
wait "$old"
echo "the old process has ended"
sleep 2
rm "$TMPDIR/go"
wait "$load"
curl -s http://127.0.0.1:4191/control/counters
