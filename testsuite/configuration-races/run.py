"""Concurrent edits through different instances while instances are killed or suspended and the store fails.

Guards against: an accepted edit that is lost or applied twice, a conflict that is not reported, and an instance whose
revision decreases. A sampler polls the revision of every instance throughout.
"""

import json
import random
import threading
import time

import scenario
import http_client as http
from deployment import OPERATOR_TOKEN, Deployment
from processes import wait_until
from transcript import Transcript

EDITS = 12  # number of edits by each operator
HEADERS = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}


class Sampler:
    """Checks that the revision of a process never decreases."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.highest = {}
        self.decreases = []
        self.samples = 0
        self.is_stopped = False
        self.thread = threading.Thread(target=self.sample_revisions)
        self.thread.start()

    def sample_revisions(self):
        while not self.is_stopped:
            for name in scenario.INSTANCES:
                member = self.deployment.members[name]
                pid = member.process.pid
                response = http.call(member.operator_address, "GET", "/operator/v1/status", headers=HEADERS, timeout=1)
                if response.status != 200 or member.process.pid != pid:
                    continue
                status = response.json()
                self.samples += 1
                # A process that is not ready may not have loaded a revision yet.
                if status["revision"] < self.highest.get(pid, 0):
                    self.decreases.append(f"{name} decreased from {self.highest[pid]} to {status['revision']}")
                self.highest[pid] = max(self.highest.get(pid, 0), status["revision"])
            time.sleep(0.01)

    def stop(self):
        self.is_stopped = True
        self.thread.join()


def read_revision(deployment, rng):
    """Returns the revision in force on a random instance that responds."""
    for _ in range(200):
        member = deployment.members[rng.choice(scenario.INSTANCES)]
        response = http.call(member.operator_address, "GET", "/operator/v1/config", headers=HEADERS, timeout=2)
        if response.status == 200:
            return response.json()["revision"]
        time.sleep(0.05)
    raise RuntimeError("no instance responded with its configuration")


def edit_share(deployment, operator, step, results):
    """Sets a parameter of the operator's own template; retries the change through random instances until it is accepted."""
    change_id = f"operator-{operator}-{step}"
    name = f"template-{operator}"
    value = json.loads(scenario.CONFIGURATION.read_text())["templates"]["opera-house"]
    value["share"] = step + 1
    rng = random.Random(f"{operator}-{step}")
    change = {"change_id": change_id, "author": f"operator-{operator}", "base_revision": read_revision(deployment, rng),
              "edits": [{"kind": "template", "name": name, "value": value}]}
    for _ in range(200):
        member = deployment.members[rng.choice(scenario.INSTANCES)]
        response = http.call(member.operator_address, "POST", "/operator/v1/changes", change, HEADERS, timeout=3)
        if response.status == 200:
            results[change_id] = response.json()["revision"]
            return
        # A conflict means that the base revision came from an instance that had not received this operator's last edit yet.
        # The change was not accepted and may be retried with a newer base. After any other response it may have been
        # accepted, so that it must be retried unchanged.
        scenario.check(response.status in (0, 409, 503), f"{change_id}: unexpected response {response.status} {response.body}")
        if response.status == 409:
            change["base_revision"] = read_revision(deployment, rng)
        time.sleep(0.05)
    results[change_id] = None


def submit_edits(deployment, operator, results):
    for step in range(EDITS):
        edit_share(deployment, operator, step, results)


def disrupt_instances(deployment):
    """Kills and suspends instances, and makes the store delay, refuse and lose responses."""
    deployment.platform.inject_fault("table-commit", "lose-answer", count=4, match="config")
    time.sleep(0.4)
    deployment.members["entry-1"].process.kill()
    deployment.start_instance("entry-1", "st-1")
    deployment.members["entry-2"].process.pause()
    time.sleep(0.6)
    deployment.members["entry-2"].process.resume()
    deployment.platform.inject_fault("table-commit", "delay", count=3, delay_ms=300, match="config")
    deployment.platform.inject_fault("table-read", "refuse", count=30)


def conflicting_changes(script, deployment):
    script.section("two operators change the same template from the same revision")
    base = deployment.status(deployment.members["entry-0"])["revision"]
    value = json.loads(scenario.CONFIGURATION.read_text())["templates"]["opera-house"]
    for author, name in (("ana", "entry-0"), ("ivo", "entry-1")):
        change = {"change_id": f"{author}-1", "author": author, "base_revision": base,
                  "edits": [{"kind": "template", "name": "opera-house", "value": {**value, "share": len(author)}}]}
        response = http.call(deployment.members[name].operator_address, "POST", "/operator/v1/changes", change, HEADERS)
        document = response.json()
        shown = [it.get("author") for it in document.get("competing", document.get("conflicts", []))]
        script.say(f"{author}: {response.status} competing authors {shown}")


def start_instance_without_store(script, deployment):
    script.section("an instance starts while the store is down and takes the revision from its peers")
    revision = deployment.status(deployment.members["entry-0"])["revision"]
    for point in ("table-read", "table-commit", "object-get"):
        deployment.platform.inject_fault(point, "refuse", count=1000000)
    deployment.members["entry-2"].process.kill()
    deployment.start_instance("entry-2", "ri-1")
    deployment.wait_ready("entry-2")
    taken = deployment.status(deployment.members["entry-2"])["revision"]
    script.say(f"ready with the revision of its peers: {taken == revision}")
    deployment.platform.clear_faults()


def run(folder):
    script = Transcript()
    with Deployment(folder) as deployment:
        scenario.start(deployment)
        sampler = Sampler(deployment)
        results = {}
        operators = [threading.Thread(target=submit_edits, args=(deployment, number, results)) for number in range(4)]
        for it in operators:
            it.start()
        disrupt_instances(deployment)
        for it in operators:
            it.join()
        deployment.platform.clear_faults()
        highest = max(revision or 0 for revision in results.values())
        names = scenario.INSTANCES
        wait_until(lambda: all(deployment.status(deployment.members[it]).get("revision") == highest for it in names), "the highest revision on all instances")
        document = http.call(deployment.members["entry-0"].operator_address, "GET", "/operator/v1/config", headers=HEADERS).json()
        shares = [document["templates"][f"template-{number}"]["share"] for number in range(4)]
        script.section("four operators, each with a template of its own")
        script.say(f"edits {len(results)}, not accepted {sum(1 for it in results.values() if it is None)}")
        script.say(f"revisions given twice: {len(results) - len(set(results.values()))}; highest is 1 + edits: {highest == 1 + len(results)}")
        script.say(f"last edit of each is in force: {shares == [EDITS] * 4}")
        conflicting_changes(script, deployment)
        start_instance_without_store(script, deployment)
        sampler.stop()
        print(f"configuration-races: {sampler.samples} samples")
        script.section("the sampler")
        script.say(f"revisions that went back: {sampler.decreases if sampler.decreases else 'none'}")
    return script.text()
