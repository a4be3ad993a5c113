# Functions to start stand-ins and daemons on loopback and to stop them again.
# Source it with FLEET set to an empty directory and BUILD to the build tree.
# fleet_stop ends every process started here, by its id.

fleet_pids=()

fleet_wait_for() { # FILE
  for _ in $(seq 200); do
    [ -s "$1" ] && return 0
    sleep 0.05
  done
  echo "no $1 after 10 s" >&2
  return 1
}

# Starts stand_in_KIND as NAME; its port is written to $FLEET/NAME.port.
fleet_stand_in() { # NAME KIND [NAME=VALUE...]
  local name=$1 kind=$2
  shift 2
  local sets=()
  for pair in "$@"; do sets+=(--set "$pair"); done
  rm -f "$FLEET/$name.port"
  "$BUILD/stand_ins/stand_in_$kind" --listen 127.0.0.1:0 \
    --port-file "$FLEET/$name.port" "${sets[@]}" 2>"$FLEET/$name.log" &
  echo $! >"$FLEET/$name.pid"
  fleet_pids+=($!)
  fleet_wait_for "$FLEET/$name.port"
}

fleet_port() { cat "$FLEET/$1.port"; }

fleet_control() { # NAME JSON
  curl -sS -X POST -d "$2" "http://127.0.0.1:$(fleet_port "$1")/control" >/dev/null
}

fleet_counters() { # NAME
  curl -sS "http://127.0.0.1:$(fleet_port "$1")/control" | jq -c .counters
}

# Adds an upstream to the list that fleet_publish_hosts publishes.
fleet_list=()
fleet_upstream() { # NAME POOL SLOTS DATA_CENTRE [STATE] [VERSION]
  fleet_list+=("$(jq -nc --arg n "$1" --arg p "$2" --argjson s "$3" \
    --arg d "$4" --arg st "${5:-live}" --arg v "${6:-}" \
    --arg a "127.0.0.1:$(fleet_port "$1")" \
    '{name:$n,pool:$p,slots:$s,data_centre:$d,state:$st,address:$a,incarnation:"1",version:$v}')")
}

fleet_publish_hosts() {
  printf '%s\n' "${fleet_list[@]}" | jq -sc . |
    curl -sS -X POST -d @- "http://127.0.0.1:$(fleet_port host_list)/v1/hosts" \
      >/dev/null
}

# Finds the next port without a listener, below the ephemeral port range.
fleet_next_port=${FLEET_FIRST_PORT:-18100}
fleet_free_port() {
  while (exec 3<>"/dev/tcp/127.0.0.1/$fleet_next_port") 2>/dev/null; do
    fleet_next_port=$((fleet_next_port + 1))
  done
  fleet_port_found=$fleet_next_port
  fleet_next_port=$((fleet_next_port + 1))
}

# Writes the settings of COUNT daemons named entry-1.. and starts them.
fleet_daemons() { # COUNT ORGANISATIONS_JSON
  local count=$1 organisations=$2 peers=() i
  for i in $(seq "$count"); do
    fleet_free_port
    echo "$fleet_port_found" >"$FLEET/entry-$i.port"
    fleet_free_port
    echo "$fleet_port_found" >"$FLEET/entry-$i.peer"
    peers+=("{\"name\":\"entry-$i\",\"address\":\"127.0.0.1:$fleet_port_found\"}")
  done
  for i in $(seq "$count"); do
    cat >"$FLEET/entry-$i.json" <<JSON
{
  // Settings of one entry host.
  "host": "entry-$i",
  "data_centre": "dc-$(((i - 1) % 4 + 1))",
  "region": "home",
  "listen": "127.0.0.1:$(cat "$FLEET/entry-$i.port")",
  "peer_listen": "127.0.0.1:$(cat "$FLEET/entry-$i.peer")",
  "peer_key": "demo-peer-key",
  "peers": [$(IFS=,; echo "${peers[*]}")],
  "key_value": "127.0.0.1:$(fleet_port key_value)",
  "host_list": "127.0.0.1:$(fleet_port host_list)",
  "operator_token": "demo-operator-token",
  "organisations": $organisations
}
JSON
    fleet_daemon "entry-$i"
  done
  for i in $(seq "$count"); do fleet_ready "entry-$i"; done
}

fleet_daemon() { # NAME
  "$BUILD/src/auburnspring/daemon/auburnspringd" \
    --settings "$FLEET/$1.json" 2>>"$FLEET/$1.log" &
  echo $! >"$FLEET/$1.pid"
  fleet_pids+=($!)
}

fleet_ready() { # NAME
  for _ in $(seq 200); do
    curl -sf "http://127.0.0.1:$(fleet_port "$1")/readyz" >/dev/null && return 0
    sleep 0.05
  done
  echo "$1 is not ready after 10 s" >&2
  return 1
}

fleet_ctl() { # entry NAME, then arguments
  local name=$1
  shift
  "$BUILD/src/auburnspring/ctl/auburnspringctl" \
    --settings "$FLEET/$name.json" "$@"
}

fleet_pid() { cat "$FLEET/$1.pid"; }

fleet_stop() {
  local pid
  for pid in "${fleet_pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
  for pid in "${fleet_pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${fleet_pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  fleet_pids=()
}
