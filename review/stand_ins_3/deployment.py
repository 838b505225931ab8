"""A small deployment on loopback addresses: the store is the project's stand-in, the instances are bulrushd processes.

Everything runs on one asyncio loop. Processes are started with the run command of the deploy file and its settings template;
only the path of the settings file and the metrics port differ, since all instances share one machine here.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform" / "testing"))

from store import Store  # noqa: E402

HOST = "127.0.0.1"
CALLER_HOST = "house.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
START_LIMIT_S = 15.0
BOUNDS = {"retryBudgetRatio": 0.2, "budgetSlack": 20, "stableMs": 3000, "configMs": 2000, "leaseMs": 3000, "drainMs": 2000,
          "graceS": 8}
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}


given_ports = set()


class CaseCannotRun(Exception):
    """The case could not be set up, so that it says nothing about the rule."""


def free_port():
    """Returns a free port below those that the system gives to outgoing connections, which could take it meanwhile."""
    while True:
        port = random.SystemRandom().randrange(15000, 32000)
        with socket.socket() as it:
            try:
                it.bind((HOST, port))
            except OSError:
                continue
        if port not in given_ports:
            given_ports.add(port)
            return port


class Record:
    """Writes what is sent, answered and run, with the time since the start of the case."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def write(self, text):
        line = f"{time.monotonic() - self.start:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()
        print(line)


class Instance:
    def __init__(self, name, zone, host=HOST):
        self.name, self.zone, self.host = name, zone, host
        self.ports = {it: free_port() for it in ("front", "ready", "control", "metrics", "store")}
        self.process = None

    @property
    def address(self):
        return (self.host, self.ports["front"])


class Deployment:
    """Store, instances and worker processes of a case; use it as an asynchronous context manager."""

    def __init__(self, record, limits=None):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-case-"))
        self.store = None
        self.instances, self.processes = [], []
        self.routes, self.services = [], []
        self.limits = {**LIMITS, **(limits or {})}
        self.bounds = dict(BOUNDS)
        self.version = 0
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["front"]
        self.command, self.template = role["run"].split(" "), ROOT / role["template"]

    async def __aenter__(self):
        self.store = Store(random.Random(1))
        if not (ROOT / self.command[0]).exists():
            raise CaseCannotRun(f"{self.command[0]} is not built")
        return self

    async def __aexit__(self, *_):
        for process in [*(it.process for it in self.instances), *self.processes]:
            if process and process.returncode is None:
                process.kill()
                await process.wait()
        await self.store.stop()
        shutil.rmtree(self.folder, ignore_errors=True)

    # The operator and the workers' entries.

    def add_route(self, prefix, kind, service, timeout_ms=10000, objective_ms=1000, attempts=1, **fields):
        self.routes.append({"name": f"r-{prefix.strip('/')}", "host": CALLER_HOST, "prefix": prefix, "kind": kind,
                            "timeoutMs": timeout_ms, "targetLatencyMs": objective_ms, "priority": 1, "service": service,
                            "maxAttempts": attempts, **fields})

    def add_service(self, name, **fields):
        self.services.append({"name": name, "healthPath": "/health", "maxConns": 100, "protocol": "h1", "tls": False, **fields})

    def configure(self):
        self.version += 1
        self.store.put("op", "config", {"version": self.version, "routes": self.routes, "services": self.services,
                                        "limits": self.limits})
        self.record.write(f"operator writes configuration {self.version}")

    def put_worker(self, name, service, port, state="ready", seq=1, born=None, is_recorded=True, **fields):
        self.store.put("servers", name, {"service": service, "addr": f"{HOST}:{port}", "zone": "a", "version": "1", "slots": 8,
                                         "state": state, "coldMs": 0, "seq": seq, "born": born or 1, **fields})
        if is_recorded:
            self.record.write(f"store has worker {name} {state} {fields or ''}")

    # Processes.

    def _settings(self, instance):
        values = {"node": instance.name, "zone": instance.zone, "ip": instance.host, "limits.cpuShare": "1",
                  "platform.addr": f"{HOST}:{instance.ports['store']}"}
        values.update({f"listen.{it}": f"{instance.host}:{instance.ports[it]}" for it in ("front", "ready", "control")})
        values.update({f"bounds.{name}": str(value) for name, value in self.bounds.items()})
        text = re.sub(r"\{\{#([\w.]+)\}\}\n(.*?)\{\{/\1\}\}\n", lambda it: it.group(2) if it.group(1) in values else "",
                      self.template.read_text(), flags=re.DOTALL)
        text = re.sub(r"\{\{([\w.]+)\}\}", lambda it: values[it.group(1)], text)
        text = re.sub(r"(BULRUSH_METRICS_ADDRESS=).*", rf"\g<1>{instance.host}:{instance.ports['metrics']}", text)
        path = self.folder / f"{instance.name}-{instance.host}.conf"
        path.write_text(text)
        return path

    async def add_instance(self, name, zone="a", host=HOST):
        """Starts an instance; `host` is the address of its machine."""
        instance = Instance(name, zone, host)
        await self.store.listen(f"{name} at {host}", HOST, instance.ports["store"])
        self.instances.append(instance)
        await self.start(instance)
        return instance

    async def start(self, instance):
        words = [*self.command]
        words[words.index("--settings-file") + 1] = str(self._settings(instance))
        log = open(self.log_path(instance), "ab")
        instance.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, stdout=log, stderr=log,
            env={it: os.environ[it] for it in ("PATH", "HOME", "LANG") if it in os.environ})
        self.record.write(f"instance {instance.name} started at {instance.host}")

    def change_settings(self, **bounds):
        """Writes all settings files with other bounds and tells the instances with SIGHUP."""
        self.bounds.update(bounds)
        for instance in self.instances:
            self._settings(instance)
            instance.process.send_signal(signal.SIGHUP)
        self.record.write(f"settings changed to {bounds}, SIGHUP to all instances")

    async def wait_until_ready(self):
        for instance in self.instances:
            await wait_for(lambda: self._is_ready(instance), f"{instance.name} is ready")

    @staticmethod
    async def _is_ready(instance):
        try:
            reader, writer = await asyncio.open_connection(instance.host, instance.ports["ready"])
        except OSError:
            return False
        writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        line = await reader.readline()
        writer.close()
        return b" 200 " in line

    async def start_worker(self, script, *arguments):
        process = await asyncio.create_subprocess_exec(sys.executable, str(script), *map(str, arguments),
                                                       stdout=asyncio.subprocess.PIPE, stdin=asyncio.subprocess.DEVNULL)
        self.processes.append(process)
        line = (await process.stdout.readline()).decode().strip()
        if line != "listening":
            raise CaseCannotRun(f"worker did not start: {line}")
        return process

    def log_path(self, instance):
        return self.folder / f"{instance.name}-{instance.host}.log"

    def kill(self, process, name):
        process.send_signal(signal.SIGKILL)
        self.record.write(f"{name} killed")


async def wait_for(condition, what, limit=START_LIMIT_S):
    end = time.monotonic() + limit
    while time.monotonic() < end:
        if await condition():
            return
        await asyncio.sleep(0.05)
    raise CaseCannotRun(f"not within {limit} s: {what}")


def request_head(method, path, request_id, headers=(), body=None):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {CALLER_HOST}", f"Bulrushstack-Request-Id: {request_id}",
             *(f"{name}: {value}" for name, value in headers)]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")


def run_case(case):
    """Runs the coroutine function `case(record, is_troubled)`, which returns whether the rule held; exits with its result."""
    folder = pathlib.Path(sys.argv[1])
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.write(f"trouble={int(is_troubled)}")
    try:
        has_held = asyncio.run(asyncio.wait_for(case(record, is_troubled), 110))
    except (CaseCannotRun, asyncio.TimeoutError, OSError, json.JSONDecodeError) as error:
        record.write(f"the case could not run: {type(error).__name__} {error}")
        sys.exit(NOT_RUN)
    record.write("the rule held" if has_held else "the rule was broken")
    sys.exit(HELD if has_held else BROKEN)
