"""Non-idempotent calls under random faults of the service, the table service and the instances.

Guards against: a call that runs twice because the caller retried it through another instance; the verdict `not-run` for a
call that ran; the verdict `ran` for a call that did not. The verdicts are compared with the service's execution log.
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
    """All calls with one idempotency key; `responses` has (status, verdict) of each, in order."""

    def __init__(self, number):
        self.key = f"key-{number}"
        self.path = f"/cues/{number}"
        self.responses = []

    def send(self, address, timeout=20):
        headers = {"Authorization": f"Bearer {scenario.TOKEN}", "Idempotency-Key": self.key, **DEADLINE}
        response = http.call(address, "POST", f"/services/cue-board{self.path}", {"line": self.key}, headers, timeout)
        self.responses.append((response.status, response.headers.get("bulrush-verdict", "none")))


def inject_faults(rng, deployment, case):
    """Injects up to one fault of the service and one of the store, which apply to this call only."""
    cues, platform = deployment.members["cues"], deployment.platform
    if rng.random() < 0.7:
        point, action = rng.choice(SERVICE_FAULTS)
        cues.inject_fault(point, action, delay_ms=rng.choice([0, 50, 400]) if action == "delay" else 0, match=case.path)
    if rng.random() < 0.5:
        point, action = rng.choice(STORE_FAULTS)
        platform.inject_fault(point, action, delay_ms=rng.choice([50, 1500]) if action == "delay" else 0, match=case.key)


def disrupt_instance(rng, deployment, name):
    """Sometimes kills or suspends the instance while it handles the call; returns the timer that does it, or None."""
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
    # The suspended instance resumes only after the call was retried through the other instances.
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
    """Compares the verdicts with the number of executions."""
    details = f"{case.key}: responses {case.responses}, executions {executions}"
    scenario.check(executions <= 1, f"the call ran more than once: {details}")
    if any(verdict == "ran" for _, verdict in case.responses):
        scenario.check(executions == 1, f"the verdict is ran but the call did not run: {details}")
    if all(verdict == "not-run" for _, verdict in case.responses):
        scenario.check(executions == 0, f"all verdicts are not-run but the call ran: {details}")


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
