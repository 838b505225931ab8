#!/usr/bin/env python3
"""Measures what the system adds to a direct call of an upstream, what it carries on one core and what it needs.

Usage: bench.py --bin FOLDER [--part latency|throughput|memory|control]...
Every figure is printed with its run; nothing is compared with a bound.
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

import houses  # noqa: E402
import http_client as http  # noqa: E402
from deployment import Deployment  # noqa: E402
from processes import binary, wait_until  # noqa: E402

PAGE = os.sysconf("SC_PAGE_SIZE")
TICK = os.sysconf("SC_CLK_TCK")
FAST = {"tokens_per_second": 1000000}
RUNS = 3


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICK


def resident_kib(pid):
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE // 1024


def metric(member, name):
    """Returns the value of the sample whose line begins with the name and its labels."""
    text = http.call(member.operator_address, "GET", "/metrics").body
    return sum(float(line.rsplit(" ", 1)[1]) for line in text.splitlines() if line.startswith(name))


def address(member):
    return f"{member.address[0]}:{member.address[1]}"


def compare(direct, through, *flags):
    command = [binary("bench_http"), f"--direct-address={address(direct)}", f"--through-address={address(through)}",
               f"--token={houses.TOKEN}", "--rounds=2000", *flags]
    done = subprocess.run(command, capture_output=True, text=True, check=True, timeout=300)
    return done.stdout.strip()


def latency(folder):
    completion = json.dumps({"model": "tosca-lora", "prompt": "x", "max_tokens": 1, "seed": 1})
    with Deployment(folder) as deployment:
        houses.start(deployment, engines=1, entries=1, engine_flags=FAST)
        entry, engine, cues = (deployment.members[it] for it in ("entry-0", "engine-0", "cues"))
        for run in range(RUNS):
            print(f"latency run {run + 1}: completion of 1 token")
            print(compare(engine, entry, "--method=POST", f"--body={completion}", "--direct-target=/v1/completions", "--through-target=/v1/completions"))
            print(f"latency run {run + 1}: service read")
            print(compare(cues, entry, "--direct-target=/cues/1", "--through-target=/services/cue-board/cues/1"))
            print(f"latency run {run + 1}: non-idempotent service call, with its journal")
            print(compare(cues, entry, "--method=POST", "--body={}", "--fresh-key=true", "--direct-target=/cues/1",
                          "--through-target=/services/cue-board/cues/1"))


def experiment(entry, rate, seconds, request):
    return {"seed": 1, "targets": [address(entry)], "teams": [{"name": "zagreb", "token": houses.TOKEN}],
            "phases": [{"name": "steady", "duration": f"{seconds}s", "rate": rate}], "requests": [request]}


def load(folder, entry, rate, seconds, request):
    path = pathlib.Path(folder) / "experiment.json"
    result = pathlib.Path(folder) / "result.json"
    path.write_text(json.dumps(experiment(entry, rate, seconds, request)))
    before = cpu_seconds(entry.process.pid)
    subprocess.run([binary("bulrush_load"), f"--result={result}", str(path)], capture_output=True, check=True, timeout=300)
    return json.loads(result.read_text()), cpu_seconds(entry.process.pid) - before


def throughput(folder):
    kinds = [("completion of 1 token", {"kind": "chat", "model": "tosca-lora", "max_tokens": 1}),
             ("stream of 50 tokens", {"kind": "stream", "model": "tosca-lora", "max_tokens": 50}),
             ("service read", {"kind": "service-read", "path": "/services/cue-board/cues/1"}),
             ("journaled service call", {"kind": "service-post", "path": "/services/cue-board/cues/1", "body": {}})]
    with Deployment(folder) as deployment:
        houses.start(deployment, engines=3, entries=1, engine_flags=FAST)
        entry = deployment.members["entry-0"]
        for name, request in kinds:
            for rate in (100, 200, 400, 800):
                result, cpu = load(folder, entry, rate, 4, request)
                sent = rate * 4
                print(f"throughput: {name} rate={rate}/s cpu={cpu:.2f}s cpu_per_request={1e6 * cpu / sent:.0f}us "
                      f"summary={json.dumps(result.get('summary', {k: result[k] for k in list(result)[:6]}))[:400]}")


def memory(folder):
    with Deployment(folder) as deployment:
        houses.start(deployment, engines=1, entries=1, engine_flags={"tokens_per_second": 2000, "max_batch": 2000})
        entry = deployment.members["entry-0"]
        idle = resident_kib(entry.process.pid)
        print(f"memory: idle {idle} KiB")
        streams = []
        body = {"model": "tosca-lora", "prompt": "x", "max_tokens": 4000, "seed": 1, "stream": True}
        # One instance sends at most 64 requests to one upstream.
        for count in (16, 32, 48, 60):
            while len(streams) < count:
                streams.append(http.Stream(entry.address, "/v1/completions", body, {"Authorization": f"Bearer {houses.TOKEN}"}))
            time.sleep(1)
            print(f"memory: {count} open streams {resident_kib(entry.process.pid)} KiB")
        for it in streams:
            it.close()


def control(folder):
    """The cost of being there: heartbeats, polls and the configuration, without requests, over the number of instances."""
    for count in (2, 4, 8, 16):
        with Deployment(folder) as deployment:
            deployment.start_platform()
            deployment.start_engine("engine-0", "zg-1", houses.MODELS)
            names = [f"entry-{n}" for n in range(count)]
            for name in names:
                deployment.start_instance(name, "zg-1", roster_poll_interval="500ms", load_poll_interval="500ms",
                                          heartbeat_interval="500ms", configuration_poll_interval="500ms")
            deployment.wait_ready(*names)
            houses.apply(deployment, names[0], json.loads(houses.CONFIGURATION.read_text()))
            wait_until(lambda: all(len(deployment.status(deployment.members[it])["peers"]) == count - 1 for it in names), "peers")
            entry = deployment.members[names[0]]
            seconds = 10
            cpu, sent = cpu_seconds(entry.process.pid), metric(entry, 'bulrush_peer_mesh{counter="bytes_sent"}')
            received = metric(entry, 'bulrush_peer_mesh{counter="bytes_received"}')
            time.sleep(seconds)
            cpu = cpu_seconds(entry.process.pid) - cpu
            sent = metric(entry, 'bulrush_peer_mesh{counter="bytes_sent"}') - sent
            received = metric(entry, 'bulrush_peer_mesh{counter="bytes_received"}') - received
            print(f"control: instances={count} cpu={100 * cpu / seconds:.2f}% of a core peer_bytes_sent={sent / seconds:.0f}/s "
                  f"peer_bytes_received={received / seconds:.0f}/s memory={resident_kib(entry.process.pid)}KiB")


PARTS = {"latency": latency, "throughput": throughput, "memory": memory, "control": control}


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
