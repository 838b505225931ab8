"""Starts stand-in services and bulrushd instances on the loopback address for a test session."""

import json
import pathlib
import subprocess
import time

import http_client as http
from processes import HOST, Process, WallClock, binary, free_port, wait_until

OPERATOR_TOKEN = "operator-secret"
PEER_KEY = "peer-secret"


class Member:
    """A process of the deployment and the addresses on which it listens."""

    def __init__(self, process, listen_port, fault_port=None, operator_port=None, peer_port=None):
        self.process = process
        self.address = (HOST, listen_port)
        self.fault_address = (HOST, fault_port) if fault_port else None
        self.operator_address = (HOST, operator_port) if operator_port else None
        self.peer_port = peer_port

    def inject_fault(self, point, action, count=1, delay_ms=0, match=""):
        """Makes a stand-in apply `action` to its next `count` operations at `point` whose subject contains `match`."""
        document = {"point": point, "action": action, "count": count, "delay_ms": delay_ms, "match": match}
        response = http.call(self.fault_address, "POST", "/faults", document)
        if response.status != 200:
            raise RuntimeError(f"stand-in rejected the fault: {response.body}")

    def clear_faults(self):
        http.call(self.fault_address, "DELETE", "/faults")

    def log(self):
        """Returns the entries of the stand-in's execution log."""
        response = http.call(self.fault_address, "GET", "/log")
        return [json.loads(line) for line in response.body.splitlines()]


class Deployment:
    """Owns the processes of a session; as a context manager, it kills those that still run on exit."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        for it in self.folder.glob("*.log"):
            it.unlink()
        self.platform = None
        self.members = {}
        self.records = {}
        self.wall_clocks = {}  # instance name -> its shifted clock; the others have the true time

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for it in reversed(list(self.members.values())):
            if it.process.is_running():
                it.process.kill()

    def _start(self, name, program, listen_port, **flags):
        flags = {"listen_address": f"{HOST}:{listen_port}", **flags}
        return Process(name, program, flags, self.folder, self.wall_clocks.get(name))

    def add_wall_clock(self, name):
        """Returns a clock for the instance of this name, which applies from its next start on."""
        self.wall_clocks[name] = WallClock(self.folder / f"{name}.clock")
        return self.wall_clocks[name]

    def _start_standin(self, name, program, **flags):
        listen, fault = free_port(), free_port()
        process = self._start(name, program, listen, fault_address=f"{HOST}:{fault}", **flags)
        member = Member(process, listen, fault_port=fault)
        self.members[name] = member
        wait_until(lambda: http.call(member.fault_address, "GET", "/log").status == 200, f"start of {name}")
        return member

    def start_platform(self, **flags):
        self.platform = self._start_standin("platform", "standin_platform", **flags)
        return self.platform

    def register(self, name, **changes):
        """Adds a record to the platform's instance list or updates fields of an existing one."""
        record = self.records.setdefault(name, {"id": name, "state": "live", "incarnation": 1, "checks_fencing": False})
        record.update(changes)
        response = http.call(self.platform.fault_address, "PUT", f"/instances/{name}", record)
        if response.status != 200:
            raise RuntimeError(f"platform rejected the instance record: {response.status} {response.body}")

    def unregister(self, name):
        http.call(self.platform.fault_address, "DELETE", f"/instances/{name}")

    def start_engine(self, name, zone, models, incarnation=1, **flags):
        """Starts an engine that serves `models`, each given as id:version:bytes, and registers it."""
        member = self._start_standin(
            name, "standin_engine", model=",".join(models), incarnation=incarnation, report_lag="10ms", **flags)
        self.register(name, role="engine", host=HOST, port=member.address[1], zone=zone, incarnation=incarnation)
        return member

    def start_service(self, name, service, zones, **flags):
        """Starts one process and registers it once per availability zone, which simulates workers that share a database."""
        member = self._start_standin(name, "standin_service", service=service, **flags)
        for number, zone in enumerate(zones):
            self.register(f"{name}-{number}", role="service", service=service, host=HOST, port=member.address[1], zone=zone)
        return member

    def start_instance(self, name, zone, **flags):
        """Starts bulrushd, on its previous ports if the instance ran before; does not wait until it is ready."""
        old = self.members.get(name)
        if old:
            listen, operator, peer = old.address[1], old.operator_address[1], old.peer_port
        else:
            listen, operator, peer = free_port(), free_port(), free_port()
        platform = f"{HOST}:{self.platform.address[1]}"
        settings = {
            "instance_id": name, "zone": zone,
            "operator_address": f"{HOST}:{operator}", "operator_token": OPERATOR_TOKEN,
            "peer_address": f"{HOST}:{peer}", "peer_key": PEER_KEY,
            "table_service_address": platform, "object_store_address": platform, "instance_list_address": platform,
            "roster_poll_interval": "50ms", "load_poll_interval": "50ms", "heartbeat_interval": "50ms",
            "configuration_poll_interval": "50ms", "drain_delay": "100ms",
        }
        settings.update(flags)
        program = WallClock.PROGRAM if name in self.wall_clocks else "bulrushd"
        process = self._start(name, program, listen, **settings)
        member = Member(process, listen, operator_port=operator, peer_port=peer)
        self.members[name] = member
        self.register(name, role="entry", host=HOST, port=listen, peer_port=peer, zone=zone)
        return member

    def wait_ready(self, *names):
        for name in names:
            address = self.members[name].address
            wait_until(lambda: http.call(address, "GET", "/readyz").status == 200, f"{name} ready")

    def wait_routable(self, *models):
        """Waits until every running instance lists, for each model, an upstream on which it is loaded."""
        def all_know_models():
            for member in self.members.values():
                if not member.operator_address or not member.process.is_running():
                    continue
                ready_models = set()
                for upstream in self.status(member).get("upstreams", []):
                    ready_models.update(upstream["models"])
                if not set(models) <= ready_models:
                    return False
            return True
        wait_until(all_know_models, f"models {models} routable")

    def status(self, member):
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        response = http.call(member.operator_address, "GET", "/operator/v1/status", headers=headers)
        return response.json() if response.status == 200 else {}

    def run_bulrushctl(self, instance, *words, stdin=None):
        """Runs bulrushctl against an instance; returns its exit status, standard output and standard error."""
        host, port = self.members[instance].operator_address
        command = [binary("bulrushctl"), f"--address={host}:{port}", f"--token={OPERATOR_TOKEN}", *words]
        done = subprocess.run(command, input=stdin, capture_output=True, text=True, timeout=60, check=False)
        return done.returncode, done.stdout, done.stderr

    def sleep(self, seconds):
        """Sleeps on the wall clock, for sessions whose behaviour depends on elapsed time."""
        time.sleep(seconds)
