"""Rolling restart of all instances under load, behind a load balancer that polls /readyz.

Guards against: a graceful shutdown that aborts a request or stream in flight, loses a request, or does not finish.
"""

import random
import threading
import time

import scenario
import http_client as http
from deployment import Deployment
from transcript import Transcript

THREADS = 6
BALANCER_INTERVAL_S = 0.05  # seconds
# At ENGINE_RATE a stream takes longer than the drain delay, so that streams are in flight at each shutdown.
STREAM_TOKENS = 200
ENGINE_RATE = 200  # tokens per second


class Balancer:
    """Sends new connections only to instances whose last health check succeeded."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.ready = list(scenario.INSTANCES)
        self.is_stopped = False
        self.thread = threading.Thread(target=self.poll)
        self.thread.start()

    def poll(self):
        while not self.is_stopped:
            self.ready = [it for it in scenario.INSTANCES
                          if http.call(self.deployment.members[it].address, "GET", "/readyz", timeout=2).status == 200]
            time.sleep(BALANCER_INTERVAL_S)

    def choose(self, rng):
        while not self.ready:
            time.sleep(BALANCER_INTERVAL_S)
        return self.deployment.members[rng.choice(self.ready)].address

    def stop(self):
        self.is_stopped = True
        self.thread.join()


class Caller:
    """Sends streaming completions, unary completions and non-idempotent service calls until stopped; records failures."""

    def __init__(self, number, balancer):
        self.rng = random.Random(number)
        self.name = number
        self.balancer = balancer
        self.counts = {"stream": 0, "whole": 0, "publish": 0}
        self.failures = []
        self.is_stopped = False
        self.thread = threading.Thread(target=self.work)
        self.thread.start()

    def work(self):
        while not self.is_stopped:
            kind = self.rng.choice(list(self.counts))
            self.counts[kind] += 1
            try:
                getattr(self, kind)(self.balancer.choose(self.rng))
            except Exception as error:  # pylint: disable=broad-except
                self.failures.append(f"{kind}: {type(error).__name__} {error}")

    def headers(self, **more):
        return {"Authorization": f"Bearer {scenario.TOKEN}", "Bulrush-Deadline": "30s", **more}

    def stream(self, address):
        body = {"model": "tosca-lora", "prompt": "x", "max_tokens": STREAM_TOKENS, "seed": 1, "stream": True}
        stream = http.Stream(address, "/v1/completions", body, self.headers())
        events = list(stream.events())
        if stream.status != 200 or not events or events[-1].data != "[DONE]":
            self.failures.append(f"stream: {stream.status} cut={stream.is_cut} events={len(events)}")
        stream.close()

    def whole(self, address):
        body = {"model": "libretto-7b", "prompt": "x", "max_tokens": 20, "seed": 1}
        response = http.call(address, "POST", "/v1/completions", body, self.headers())
        if response.status != 200:
            self.failures.append(f"whole: {response.status} {response.body}")

    def publish(self, address):
        key = f"{self.name}-{self.counts['publish']}"
        response = http.call(address, "POST", f"/services/cue-board/cues/{key}", {"a": 1}, self.headers(**{"Idempotency-Key": key}))
        if response.status != 201:
            self.failures.append(f"publish: {response.status} {response.body}")

    def stop(self):
        self.is_stopped = True
        self.thread.join()


def replace_instance(deployment, name):
    """Stops an instance with SIGTERM, sent a second time during the shutdown, and starts a new process with its id."""
    process = deployment.members[name].process
    process.send_signal(15)
    time.sleep(0.05)
    status = process.terminate()
    # Delays the reports of the engines: a new instance must not be ready before it knows which models they have loaded.
    for engine in scenario.ENGINES:
        deployment.members[engine].inject_fault("report", "delay", count=20, delay_ms=150)
    deployment.start_instance(name, scenario.ZONES[scenario.INSTANCES.index(name)], drain_delay="300ms")
    deployment.wait_ready(name)
    deployment.sleep(0.3)
    return status


def run(folder):
    script = Transcript()
    with Deployment(folder) as deployment:
        scenario.start(deployment, engine_flags={"tokens_per_second": ENGINE_RATE}, instance_flags={"drain_delay": "300ms"})
        balancer = Balancer(deployment)
        callers = [Caller(number, balancer) for number in range(THREADS)]
        statuses = [replace_instance(deployment, name) for name in scenario.INSTANCES]
        for it in callers:
            it.stop()
        balancer.stop()
        failures = [failure for it in callers for failure in it.failures]
        total = sum(sum(it.counts.values()) for it in callers)
        print(f"rolling-replacement: {total} requests, {len(failures)} failures")
        script.say(f"exit statuses {statuses}")
        script.say(f"requests lost or cut: {failures if failures else 'none'}")
        published = [entry["path"] for entry in deployment.members["cues"].log() if entry.get("method") == "POST"]
        script.say(f"publishes that ran twice: {len(published) - len(set(published))}")
    return script.text()
