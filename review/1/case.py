"""Takes away the last keys of all tenants, and sends requests with them past `revoke_ms`."""

from __future__ import annotations

import time

from standins import (
    BOUNDS,
    HOST,
    LIMITS,
    PlainService,
    Run,
    Store,
    find_ports,
    is_ready,
    make_entry_settings,
    make_record,
    make_route,
    run_case,
    send,
    wait_until,
)

SERVICE = "booking-ledger"
FIRMS = {"firm-a": "key-of-firm-a", "firm-b": "key-of-firm-b", "firm-c": "key-of-firm-c"}
UNKNOWN_KEY = "key-that-no-config-held"
REVOKE_GAP_SECONDS = 0.4
REVOKE_SECONDS = BOUNDS["revoke_ms"] / 1000
PROBE_SECONDS = 3.0


def make_config(version: int, keys: dict[str, list[str]]) -> dict:
    tenants = [{"name": name, "keys": held, "priority": 1} for name, held in keys.items()]
    services = [{"name": SERVICE, "health_path": "/health", "max_conns": 100}]
    routes = [make_route("deposit-hold", SERVICE, "non_idempotent")]
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "tenants": tenants,
        "limits": LIMITS,
    }


def play(run: Run) -> bool:
    store, ledger = Store(), PlainService("ledger-1")
    keys = {name: [key] for name, key in FIRMS.items()}
    version = 7
    store.put("op/config", make_config(version, keys))
    store.put("servers/ledger-1", make_record(SERVICE, ledger.address))
    entries = [find_ports(6), find_ports(6)]
    seeds = [f"{HOST}:{ports[2]}" for ports in entries]
    for number, ports in enumerate(entries, 1):
        name = f"front-{number}"
        run.start(name, "entry", make_entry_settings(name, store, ports, seeds))
    for ports in entries:
        wait_until(lambda port=ports[1]: is_ready(port), 20.0, "the entries are ready")
    holders = {key: name for name, key in FIRMS.items()}
    sent: dict[str, tuple[float, str]] = {}

    def book(ports: list[int], key: str) -> int:
        request = f"r-{len(sent)}"
        headers = {"Host": "desk.example", "X-Attempt-Id": request, "X-Deadline-Ms": "2500"}
        sent[request] = (time.monotonic(), key)
        status, _, _ = send(
            ports[0], "POST", "/deposit-hold/1", {**headers, "X-Api-Key": key}, b"tent"
        )
        run.note(f"sent {request} to front-{entries.index(ports) + 1} with {key}: {status}")
        return status

    for ports in entries:
        for key in FIRMS.values():
            wait_until(lambda p=ports, k=key: book(p, k) == 200, 10.0, f"{key} is accepted")
        book(ports, UNKNOWN_KEY)
    taken_at: dict[str, float] = {}
    for name, key in FIRMS.items():
        version += 4
        if run.trouble:
            keys[name] = []
        acknowledged_at = store.put("op/config", make_config(version, keys))
        if run.trouble:
            taken_at[key] = acknowledged_at
        run.note(f"config {version} acknowledged, keys {keys}")
        time.sleep(REVOKE_GAP_SECONDS)
    time.sleep(REVOKE_SECONDS)
    until = time.monotonic() + PROBE_SECONDS
    while time.monotonic() < until:
        for ports in entries:
            for key in (*FIRMS.values(), UNKNOWN_KEY):
                book(ports, key)
        time.sleep(0.3)
    broken = 0
    for _, headers in ledger.runs:
        request, tenant = headers["x-attempt-id"], headers.get("x-tenant")
        sent_at, key = sent[request]
        late = key in taken_at and sent_at > taken_at[key] + REVOKE_SECONDS
        foreign = tenant != holders.get(key) and (late or key == UNKNOWN_KEY)
        if not (late or foreign):
            continue
        broken += 1
        after = f", {sent_at - taken_at[key]:.2f} s after it was taken away" if late else ""
        run.note(f"ran {request} with {key}{after}; X-Tenant: {tenant}")
    run.note(f"{len(ledger.runs)} requests ran, {broken} of them against the rules")
    return not broken


run_case(__file__, "the last keys of all tenants are taken away", play)
