"""The table service and the object store are down for longer than the freshness bound.

Guards against: instances that become unready although no configuration change can be accepted while the store is down, so
that their configuration is current; an instance that stays ready although it reaches neither the store nor a peer; a change
that is accepted during the outage.
"""

import json

import scenario
import http_client as http
from deployment import OPERATOR_TOKEN, Deployment
from processes import wait_until
from transcript import Transcript

BOUND = 1.0  # seconds; value of --freshness-bound
STORE_POINTS = ("table-read", "table-commit", "object-get", "object-put")


def readiness(deployment):
    return [http.call(deployment.members[name].address, "GET", "/readyz").status for name in scenario.INSTANCES]


def change(deployment):
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    value = json.loads(scenario.CONFIGURATION.read_text())["templates"]["opera-house"]
    body = {"change_id": "during-outage", "author": "ana", "base_revision": 1,
            "edits": [{"kind": "template", "name": "other", "value": value}]}
    return http.call(deployment.members["entry-1"].operator_address, "POST", "/operator/v1/changes", body, headers)


def run(folder):
    script = Transcript()
    with Deployment(folder) as deployment:
        scenario.start(deployment, instance_flags={"freshness_bound": f"{int(1000 * BOUND)}ms"})
        for point in STORE_POINTS:
            deployment.platform.inject_fault(point, "refuse", count=1000000)
        deployment.sleep(3 * BOUND)
        script.section("the store has been down for three times the freshness bound")
        script.say(f"readiness {readiness(deployment)}")
        headers = {"Authorization": f"Bearer {scenario.TOKEN}"}
        body = {"model": "tosca-lora", "prompt": "x", "max_tokens": 4, "seed": 1}
        script.say(f"completion {http.call(deployment.members['entry-0'].address, 'POST', '/v1/completions', body, headers).status}")
        response = change(deployment)
        script.say(f"change {response.status} retry-after {response.headers.get('retry-after')}")
        script.section("one instance loses its peers as well")
        for name in scenario.INSTANCES[:2]:
            deployment.members[name].process.pause()
        isolated_address = deployment.members["entry-2"].address
        wait_until(lambda: http.call(isolated_address, "GET", "/readyz").status == 503, "the isolated instance is not ready")
        script.say("not ready")
        for name in scenario.INSTANCES[:2]:
            deployment.members[name].process.resume()
        deployment.platform.clear_faults()
        deployment.wait_ready(*scenario.INSTANCES)
        script.section("after the outage")
        script.say(f"readiness {readiness(deployment)}, change {change(deployment).status}")
    return script.text()
