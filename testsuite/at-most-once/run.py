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


class Case:
    """The calls with one key: what was answered, in order."""

    def __init__(self, number):
        self.key = f"key-{number}"
        self.path = f"/cues/{number}"
        self.answers = []

    def send(self, address, timeout=20):
        headers = {"Authorization": f"Bearer {scenario.TOKEN}", "Idempotency-Key": self.key, **DEADLINE}
        answer = http.call(address, "POST", f"/services/cue-board{self.path}", {"line": self.key}, headers, timeout)
        self.answers.append((answer.status, answer.headers.get("bulrush-verdict", "none")))


def arm(chance, deployment, case):
    """Arms one or two faults that strike this call only."""
    cues, platform = deployment.members["cues"], deployment.platform
    if chance.random() < 0.7:
        point, action = chance.choice(SERVICE_FAULTS)
        cues.fault(point, action, delay_ms=chance.choice([0, 50, 400]) if action == "delay" else 0, match=case.path)
    if chance.random() < 0.5:
        point, action = chance.choice(STORE_FAULTS)
        platform.fault(point, action, delay_ms=chance.choice([50, 1500]) if action == "delay" else 0, match=case.key)


def disturb(chance, deployment, name):
    """Sometimes kills or pauses the instance while it has the call; returns how to put it right again."""
    process = deployment.members[name].process
    dice = chance.random()
    timer = None
    if dice < 0.15:
        timer = threading.Timer(chance.uniform(0.0, 0.1), process.kill)
    elif dice < 0.35:
        timer = threading.Timer(chance.uniform(0.0, 0.05), process.pause)
    if timer:
        timer.start()
    return timer


def run_case(chance, deployment, number):
    case = Case(number)
    arm(chance, deployment, case)
    name = chance.choice(scenario.ENTRIES)
    timer = disturb(chance, deployment, name)
    case.send(deployment.members[name].address, timeout=4)
    if timer:
        timer.join()
    others = [it for it in scenario.ENTRIES if it != name]
    chance.shuffle(others)
    for other in others:
        case.send(deployment.members[other].address)
    # The paused instance wakes after its call was sent again elsewhere.
    deployment.members[name].process.resume()
    if not deployment.members[name].process.is_running():
        deployment.start_instance(name, scenario.ZONES[scenario.ENTRIES.index(name)])
        deployment.wait_ready(name)
    deployment.members["cues"].clear_faults()
    deployment.platform.clear_faults()
    for entry in chance.sample(scenario.ENTRIES, 2):
        case.send(deployment.members[entry].address)
    return case


def verify(case, executions):
    """Compares what was answered with what was executed."""
    story = f"{case.key}: answers {case.answers}, executions {executions}"
    scenario.check(executions <= 1, f"ran more than once: {story}")
    if any(verdict == "ran" for _, verdict in case.answers):
        scenario.check(executions == 1, f"reported as run but did not run: {story}")
    if all(verdict == "not-run" for _, verdict in case.answers):
        scenario.check(executions == 0, f"reported as not run but ran: {story}")


def run(folder):
    seed = int(os.environ.get("SESSION_SEED", "20261204"))
    print(f"at-most-once: seed {seed}")
    chance = random.Random(seed)
    script = Transcript()
    with Deployment(folder) as deployment:
        scenario.start(deployment)
        cases = [run_case(chance, deployment, number) for number in range(CALLS)]
        deployment.pause_for(2)
        executed = collections.Counter(entry["path"] for entry in deployment.members["cues"].log() if entry.get("method") == "POST")
        for case in cases:
            verify(case, executed[case.path])
        kinds = collections.Counter(verdict for case in cases for _, verdict in case.answers)
        print(f"at-most-once: {len(cases)} keys, {sum(executed.values())} executions, answers {dict(kinds)}")
    script.say(f"{CALLS} keys: none ran twice, no false not-run, no false ran")
    return script.text()
