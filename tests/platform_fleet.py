"""A store, an origin, a plain endpoint and the adapter's processes that a test starts."""

from __future__ import annotations

from platform_standins import (
    BOUNDS,
    ENGINE_SERVICE,
    HOST,
    KEY,
    PLAIN_SERVICE,
    EndpointStandIn,
    OriginStandIn,
    Program,
    StoreStandIn,
    find_ports,
    make_config,
    make_record,
    make_settings,
    send_request,
    write_settings,
)


class Fleet:
    """The stand-ins of the platform, and the processes that run against them."""

    def __init__(self, folder):
        self.folder = folder
        self.store = StoreStandIn()
        self.origin = OriginStandIn()
        self.endpoint = EndpointStandIn("e-1")
        self.programs = []
        self.agent_fields = {}
        self.store.put("op/config", make_config(3, self.origin.address))
        self.store.put("servers/e-1", make_record(PLAIN_SERVICE, self.endpoint.address))

    def start_entry(self, name="entry-1", store=None, seeds=(), agent_port=None, **bounds):
        ports = find_ports(6)
        fields = make_settings(name, store or self.store.address, ports, list(seeds))
        fields["bounds"] = {**BOUNDS, **bounds}
        if agent_port is not None:
            fields["port_range"] = [agent_port, ports[-1]]
        self.start(name, "entry", fields)
        return ports

    def start_agent(self, number, engine, entry, port):
        """Start the agent of an engine on a loopback address of its own, and list the engine."""
        host = f"127.0.1.{number + 1}"
        record = make_record(ENGINE_SERVICE, f"{host}:{engine.port}", models=[])
        self.store.put(f"servers/m-{number}", record)
        fields = make_settings(
            f"agent-{number}",
            self.store.address,
            [port, port + 1],
            [f"{HOST}:{entry[2]}"],
            app=engine.address,
            service=ENGINE_SERVICE,
        )
        fields["ip"] = host
        fields["listen"] = {}
        self.agent_fields[number] = fields
        return self.start(f"agent-{number}", "agent", fields)

    def start(self, name, role, fields):
        settings = write_settings(self.folder / f"{name}.toml", fields)
        program = Program(role, settings, self.folder / f"{name}.log")
        self.programs.append(program)
        return program

    def close(self):
        for program in self.programs:
            program.kill()
        for standin in (self.store, self.endpoint, self.origin):
            standin.close()


def book(ports, key=KEY, route="book", request="r-1", **extra):
    """Send a booking to the entry with these ports; return status, body and headers."""
    headers = {"Host": "desk.example", "X-Attempt-Id": request, "X-Api-Key": key, **extra}
    return send_request(ports[0], "POST", f"/{route}/1", headers, b"tent")


def is_ready(ports):
    return send_request(ports[1], "GET", "/api/ready")[0] == 200
