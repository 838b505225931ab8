"""Non-idempotent calls under randomised faults of the service, the table service and the instances.

Guards against: a call that runs twice because it was sent again through another instance; an answer `not-run` for a
call that ran; an answer `ran` for one that did not. The evidence is the service's own execution log.
"""

import collections
import os
import random
import threading

import scenario
import http_client as http
from deployment import Deployment
from transcript import Transcript

CALLS = 60
DEADLINE = {"Bulrush-Deadline": "3s"}
SERVICE_FAULTS = [("accept", "refuse"), ("accept", "drop"), ("execute", "drop"), ("answer", "lose-answer"),
                  ("answer", "cut"), ("answer", "mute"), ("answer", "delay"), ("accept", "delay")]
STORE_FAULTS = [("table-commit", "lose-answer"), ("table-commit", "drop"), ("table-commit", "refuse"),
                ("table-commit", "mute"), ("table-read", "refuse"), ("table-commit", "delay")]


class KeyedCall:
    """The calls with one key: what was answered, in order."""

    def __init__(self, number):
        self.key = f"key-{number}"
        self.path = f"/cues/{number}"
        self.responses = []

    def send(self, address, timeout=20):
        headers = {"Authorization": f"Bearer {scenario.TOKEN}", "Idempotency-Key": self.key, **DEADLINE}
        response = http.call(address, "POST", f"/services/cue-board{self.path}", {"line": self.key}, headers, timeout)
        self.responses.append((response.status, response.headers.get("bulrush-verdict", "none")))


def inject_faults(rng, deployment, case):
    """Arms one or two faults that strike this call only."""
    cues, platform = deployment.members["cues"], deployment.platform
    if rng.random() < 0.7:
        point, action = rng.choice(SERVICE_FAULTS)
        cues.inject_fault(point, action, delay_ms=rng.choice([0, 50, 400]) if action == "delay" else 0, match=case.path)
    if rng.random() < 0.5:
        point, action = rng.choice(STORE_FAULTS)
        platform.inject_fault(point, action, delay_ms=rng.choice([50, 1500]) if action == "delay" else 0, match=case.key)


def disrupt_instance(rng, deployment, name):
    """Sometimes kills or pauses the instance while it has the call; returns how to put it right again."""
    process = deployment.members[name].process
    draw = rng.random()
    timer = None
    if draw < 0.15:
        timer = threading.Timer(rng.uniform(0.0, 0.1), process.kill)
    elif draw < 0.35:
        timer = threading.Timer(rng.uniform(0.0, 0.05), process.pause)
    if timer:
        timer.start()
    return timer


def run_case(rng, deployment, number):
    case = KeyedCall(number)
    inject_faults(rng, deployment, case)
    name = rng.choice(scenario.INSTANCES)
    timer = disrupt_instance(rng, deployment, name)
    case.send(deployment.members[name].address, timeout=4)
    if timer:
        timer.join()
    others = [it for it in scenario.INSTANCES if it != name]
    rng.shuffle(others)
    for other in others:
        case.send(deployment.members[other].address)
    # The paused instance wakes after its call was sent again elsewhere.
    deployment.members[name].process.resume()
    if not deployment.members[name].process.is_running():
        deployment.start_instance(name, scenario.ZONES[scenario.INSTANCES.index(name)])
        deployment.wait_ready(name)
    deployment.members["cues"].clear_faults()
    deployment.platform.clear_faults()
    for other in rng.sample(scenario.INSTANCES, 2):
        case.send(deployment.members[other].address)
    return case


def verify(case, executions):
    """Compares what was answered with what was executed."""
    details = f"{case.key}: answers {case.responses}, executions {executions}"
    scenario.check(executions <= 1, f"ran more than once: {details}")
    if any(verdict == "ran" for _, verdict in case.responses):
        scenario.check(executions == 1, f"reported as run but did not run: {details}")
    if all(verdict == "not-run" for _, verdict in case.responses):
        scenario.check(executions == 0, f"reported as not run but ran: {details}")


def run(folder):
    seed = int(os.environ.get("SESSION_SEED", "20261204"))
    print(f"at-most-once: seed {seed}")
    rng = random.Random(seed)
    script = Transcript()
    with Deployment(folder) as deployment:
        scenario.start(deployment)
        cases = [run_case(rng, deployment, number) for number in range(CALLS)]
        deployment.sleep(2)
        executed = collections.Counter(entry["path"] for entry in deployment.members["cues"].log() if entry.get("method") == "POST")
        for case in cases:
            verify(case, executed[case.path])
        verdict_counts = collections.Counter(verdict for case in cases for _, verdict in case.responses)
        print(f"at-most-once: {len(cases)} keys, {sum(executed.values())} executions, answers {dict(verdict_counts)}")
    script.say(f"{CALLS} keys: none ran twice, no false not-run, no false ran")
    return script.text()
