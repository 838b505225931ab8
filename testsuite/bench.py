#!/usr/bin/env python3
"""Measures the latency that an instance adds to a direct call of an upstream, its throughput on one core and its use of
resources.

Usage: bench.py --bin FOLDER [--part NAME]...
The results of each run are printed; nothing is compared with a limit.
"""

import argparse
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(ROOT / "lib"))

import scenario  # noqa: E402
import http_client as http  # noqa: E402
from deployment import Deployment  # noqa: E402
from processes import binary, wait_until  # noqa: E402

PAGE_SIZE = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
FAST_ENGINE = {"tokens_per_second": 1000000}
RUNS = 3


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_kib(pid):
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_SIZE // 1024


def metric(member, name):
    """Returns the sum of the metric's samples whose lines begin with `name`, which may include labels."""
    text = http.call(member.operator_address, "GET", "/metrics").body
    return sum(float(line.rsplit(" ", 1)[1]) for line in text.splitlines() if line.startswith(name))


def address(member):
    return f"{member.address[0]}:{member.address[1]}"


def compare_latency(direct, through, *flags):
    command = [binary("bench_http"), f"--direct-address={address(direct)}", f"--through-address={address(through)}",
               f"--token={scenario.TOKEN}", "--rounds=2000", *flags]
    done = subprocess.run(command, capture_output=True, text=True, check=True, timeout=300)
    return done.stdout.strip()


def latency(folder):
    completion = json.dumps({"model": "tosca-lora", "prompt": "x", "max_tokens": 1, "seed": 1})
    with Deployment(folder) as deployment:
        scenario.start(deployment, engines=1, instances=1, engine_flags=FAST_ENGINE)
        instance, engine, cues = (deployment.members[it] for it in ("entry-0", "engine-0", "cues"))
        http.call(cues.address, "POST", "/cues/1", "{}")  # creates the resource to read
        for run in range(RUNS):
            print(f"latency run {run + 1}: completion of 1 token")
            print(compare_latency(engine, instance, "--method=POST", f"--body={completion}", "--direct-target=/v1/completions", "--through-target=/v1/completions"))
            print(f"latency run {run + 1}: service read")
            print(compare_latency(cues, instance, "--direct-target=/cues/1", "--through-target=/services/cue-board/cues/1"))
            print(f"latency run {run + 1}: non-idempotent service call, with its journal")
            print(compare_latency(cues, instance, "--method=POST", "--body={}", "--fresh-key=true", "--direct-target=/cues/1",
                          "--through-target=/services/cue-board/cues/1"))


def experiment(instance, rate, seconds, request):
    return {"seed": 1, "targets": [address(instance)], "teams": [{"name": "zagreb", "token": scenario.TOKEN}],
            "phases": [{"name": "steady", "duration": f"{seconds}s", "rate": rate}], "requests": [request]}


def load(folder, instance, rate, seconds, request):
    path = pathlib.Path(folder) / "experiment.json"
    result = pathlib.Path(folder) / "result.json"
    path.write_text(json.dumps(experiment(instance, rate, seconds, request)))
    before = cpu_seconds(instance.process.pid)
    subprocess.run([binary("bulrush_load"), f"--result={result}", str(path)], capture_output=True, check=True, timeout=300)
    return json.loads(result.read_text()), cpu_seconds(instance.process.pid) - before


def throughput(folder):
    kinds = [("completion of 1 token", {"kind": "chat", "model": "tosca-lora", "max_tokens": 1}),
             ("stream of 50 tokens", {"kind": "stream", "model": "tosca-lora", "max_tokens": 50}),
             ("service read", {"kind": "service-read", "path": "/services/cue-board/cues/1"}),
             ("journaled service call", {"kind": "service-post", "path": "/services/cue-board/cues/1", "body": {}})]
    with Deployment(folder) as deployment:
        scenario.start(deployment, engines=3, instances=1, engine_flags=FAST_ENGINE)
        instance = deployment.members["entry-0"]
        http.call(deployment.members[scenario.SERVICE].address, "POST", "/cues/1", "{}")  # creates the resource to read
        for name, request in kinds:
            for rate in (100, 200, 400, 800):
                result, cpu = load(folder, instance, rate, 4, request)
                sent = rate * 4
                print(f"throughput: {name} rate={rate}/s cpu={cpu:.2f}s cpu_per_request={1e6 * cpu / sent:.0f}us "
                      f"result={json.dumps(result)[:700]}")


def saturation(folder):
    """Measures answered requests per second through one instance (one core) and directly at an engine, in the same run."""
    request = {"kind": "chat", "model": "tosca-lora", "max_tokens": 1}
    with Deployment(folder) as deployment:
        scenario.start(deployment, engines=3, instances=1, engine_flags=FAST_ENGINE)
        instance, engine = deployment.members["entry-0"], deployment.members["engine-0"]
        for rate in (1000, 2000, 3000, 4000):
            for name, member in (("through", instance), ("direct", engine)):
                result, cpu = load(folder, member, rate, 3, request)
                print(f"saturation: {name} offered={rate}/s answered={result['answered_per_second']:.0f}/s "
                      f"{result['by_class']['chat']['by_status']} cpu={cpu / 3:.2f} cores", flush=True)


def memory(folder):
    with Deployment(folder) as deployment:
        scenario.start(deployment, engines=1, instances=1, engine_flags={"tokens_per_second": 2000, "max_batch": 2000})
        instance = deployment.members["entry-0"]
        idle = resident_kib(instance.process.pid)
        print(f"memory: idle {idle} KiB")
        streams = []
        body = {"model": "tosca-lora", "prompt": "x", "max_tokens": 4000, "seed": 1, "stream": True}
        # An instance sends at most 64 concurrent requests to one upstream.
        for count in (16, 32, 48, 60):
            while len(streams) < count:
                streams.append(http.Stream(instance.address, "/v1/completions", body, {"Authorization": f"Bearer {scenario.TOKEN}"}))
            time.sleep(1)
            print(f"memory: {count} open streams {resident_kib(instance.process.pid)} KiB")
        for it in streams:
            it.close()


INTERVALS = {"roster_poll_interval": "500ms", "load_poll_interval": "500ms", "heartbeat_interval": "500ms",
             "configuration_poll_interval": "500ms"}
IDLE_SECONDS = 6


def loopback_bytes():
    """Returns the bytes that the loopback interface has received, including TCP and IP headers."""
    for line in pathlib.Path("/proc/net/dev").read_text().splitlines():
        if line.strip().startswith("lo:"):
            return int(line.split(":")[1].split()[0])
    raise RuntimeError("/proc/net/dev lists no loopback interface")


def measure_idle_cost(members):
    """Measures idle instances; returns percent of a core, bytes per second on the loopback interface and resident KiB, each per
    instance."""
    pids = [it.process.pid for it in members]
    cpu, traffic, begin = sum(map(cpu_seconds, pids)), loopback_bytes(), time.monotonic()
    time.sleep(IDLE_SECONDS)
    seconds = time.monotonic() - begin
    cpu, traffic = sum(map(cpu_seconds, pids)) - cpu, loopback_bytes() - traffic
    instance_seconds = seconds * len(pids)
    return 100 * cpu / instance_seconds, traffic / instance_seconds, sum(map(resident_kib, pids)) / len(pids)


def print_idle_cost(what, count, figures):
    print(f"{what}={count}: {figures[0]:.2f}% of a core, {figures[1]:.0f} bytes/s, {figures[2]:.0f} KiB for one instance", flush=True)


def start_instances(deployment, count):
    names = [f"entry-{n}" for n in range(count)]
    for name in names:
        deployment.start_instance(name, "zg-1", **INTERVALS)
    deployment.wait_ready(*names)
    # Without --wait, because an instance exchanges state with 8 peers only and cannot confirm a change for more of them.
    deployment.run_bulrushctl(names[0], "config", "apply", str(scenario.CONFIGURATION))
    members = [deployment.members[it] for it in names]
    wait_until(lambda: all(deployment.status(it).get("revision") == 1 for it in members), "the configuration is in force")
    wait_until(lambda: all(len(deployment.status(it)["peers"]) == count - 1 for it in members), "peers")
    return members


def peers(folder):
    """Measures the cost of an idle instance as a function of the number of instances."""
    for count in (2, 4, 8, 16, 32):
        with Deployment(folder) as deployment:
            deployment.start_platform()
            members = start_instances(deployment, count)
            print_idle_cost("instances", count, measure_idle_cost(members))


def upstreams(folder):
    """Measures the cost of an idle instance as a function of the number of engines, which are one process with many ids."""
    with Deployment(folder) as deployment:
        deployment.start_platform()
        engine = deployment.start_engine("engine-0", "zg-1", scenario.MODELS)
        members = start_instances(deployment, 1)
        registered = 1
        for count in (1, 8, 32, 128):
            for number in range(registered, count):
                deployment.register(f"engine-{number}", role="engine", host=engine.address[0], port=engine.address[1], zone="zg-1")
            registered = count
            wait_until(lambda: len(deployment.status(members[0])["upstreams"]) == count, "upstreams")
            print_idle_cost("engines", count, measure_idle_cost(members))


def configuration(folder):
    """Measures the cost of a configuration change as a function of the document size."""
    with Deployment(folder) as deployment:
        deployment.start_platform()
        members = start_instances(deployment, 2)
        document = json.loads(scenario.CONFIGURATION.read_text())
        for count in (50, 200, 400, 800):
            teams = {f"team-{n}": {"template": "opera-house", "parameters": {}, "token_sha256": [f"{n:064x}"]} for n in range(count)}
            scenario.apply(deployment, "entry-0", {"teams": teams})
            size = len(json.dumps(deployment.status(members[0])))  # reopens an idle connection before the measurement
            pid, changes = members[1].process.pid, 10
            cpu, traffic, begin = cpu_seconds(pid), loopback_bytes(), time.monotonic()
            for step in range(changes):
                template = {**document["templates"]["opera-house"], "share": 2 + step}
                scenario.apply(deployment, "entry-0", {"templates": {"opera-house": template}})
            seconds = time.monotonic() - begin
            size = len(http.call(members[0].operator_address, "GET", "/operator/v1/config",
                                 headers={"Authorization": "Bearer operator-secret"}).body)
            print(f"teams={count}: document {size} bytes, {1000 * (cpu_seconds(pid) - cpu) / changes:.1f} ms of processor time and "
                  f"{(loopback_bytes() - traffic) / changes:.0f} bytes on all connections for one change, applied and in force "
                  f"on both instances in {1000 * seconds / changes:.0f} ms, {resident_kib(pid)} KiB", flush=True)


def propagation(folder):
    """Measures the time from sending a change until it is in force on each of nine instances."""
    with Deployment(folder) as deployment:
        deployment.start_platform()
        members = start_instances(deployment, 9)
        document = json.loads(scenario.CONFIGURATION.read_text())
        times = []
        for step in range(20):
            template = {**document["templates"]["opera-house"], "share": 2 + step}
            begin = time.monotonic()
            status, _, errors = deployment.run_bulrushctl("entry-0", "config", "apply", "-", stdin=json.dumps({"templates": {"opera-house": template}}))
            scenario.check(status == 0, errors)
            wait_until(lambda: all(deployment.status(it).get("revision") == 2 + step for it in members), "in force", interval=0.005)
            times.append(time.monotonic() - begin)
        times.sort()
        print(f"propagation to 9 instances, {len(times)} changes: median {1000 * times[len(times) // 2]:.0f} ms, worst {1000 * times[-1]:.0f} ms")


PARTS = {"latency": latency, "throughput": throughput, "saturation": saturation, "memory": memory, "peers": peers, "upstreams": upstreams,
         "configuration": configuration, "propagation": propagation}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", required=True, help="folder of the built programs")
    parser.add_argument("--part", action="append", choices=list(PARTS))
    arguments = parser.parse_args()
    os.environ["SESSION_BIN"] = arguments.bin
    for name in arguments.part or list(PARTS):
        with tempfile.TemporaryDirectory(prefix="bulrush-bench-") as folder:
            PARTS[name](folder)


main()
