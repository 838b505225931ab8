"""Existing connections stop carrying data in both directions without being closed, while new connections work.

Guards against: requests that hang until their deadline on dead pooled connections, and a wrong verdict for a non-idempotent
call on such a connection. Relays in front of the engines, the service and the platform drop the traffic.
"""

import json

import scenario
import http_client as http
from deployment import Deployment, HOST
from processes import free_port
from transcript import Transcript

DEADLINE = {"Bulrush-Deadline": "10s"}


def start_relay(deployment, name, target):
    """Starts a relay in front of an address and returns its member of the deployment."""
    return deployment._start_standin(  # pylint: disable=protected-access
        name, "standin_relay", target_address=f"{target[0]}:{target[1]}")


def start(deployment):
    platform = deployment.start_platform()
    relays = {"store": start_relay(deployment, "relay-store", platform.address)}
    for number, zone in enumerate(scenario.ZONES):
        engine = deployment.start_engine(scenario.ENGINES[number], zone, scenario.MODELS, tokens_per_second=5000)
        relays[f"engine-{number}"] = start_relay(deployment, f"relay-engine-{number}", engine.address)
        deployment.register(scenario.ENGINES[number], port=relays[f"engine-{number}"].address[1])
    cues = deployment.start_service("cues", "cue-board", scenario.ZONES)
    relays["cues"] = start_relay(deployment, "relay-cues", cues.address)
    for number in range(3):
        deployment.register(f"cues-{number}", port=relays["cues"].address[1])
    store = f"{HOST}:{relays['store'].address[1]}"
    for number, zone in enumerate(scenario.ZONES):
        deployment.start_instance(scenario.INSTANCES[number], zone, table_service_address=store, object_store_address=store,
                                  instance_list_address=store)
    deployment.wait_ready(*scenario.INSTANCES)
    scenario.apply(deployment, "entry-0", json.loads(scenario.CONFIGURATION.read_text()))
    deployment.wait_routable("libretto-7b", "tosca-lora", "aida-lora")
    return relays


def chat(address, number):
    headers = {"Authorization": f"Bearer {scenario.TOKEN}", **DEADLINE}
    body = {"model": "tosca-lora", "prompt": f"line {number}", "max_tokens": 8, "seed": number}
    return http.call(address, "POST", "/v1/completions", body, headers)


def publish(address, key):
    headers = {"Authorization": f"Bearer {scenario.TOKEN}", "Idempotency-Key": key, **DEADLINE}
    return http.call(address, "POST", f"/services/cue-board/cues/{key}", {"line": key}, headers)


def run(folder):
    script = Transcript()
    with Deployment(folder) as deployment:
        relays = start(deployment)
        address = deployment.members["entry-0"].address
        keys = []
        for step, silenced in enumerate([["engine-0"], ["engine-0", "engine-1", "engine-2"], ["store"], ["cues"], list(relays)]):
            for number in range(3):
                chat(address, number)
                publish(address, f"warm-{step}-{number}")
            for name in silenced:
                relays[name].inject_fault("existing", "mute")
            for number in range(4):
                response = chat(address, 100 * step + number)
                scenario.check(response.status == 200, f"step {step}: completion failed with {response.status} {response.body}")
            for number in range(3):
                key = f"key-{step}-{number}"
                verdicts = []
                # The caller retries until the call succeeds: after not-run, and also after an unknown outcome.
                for _ in range(4):
                    response = publish(address, key)
                    verdicts.append(response.headers.get("bulrush-verdict"))
                    if response.status == 201:
                        break
                keys.append((key, verdicts))
            script.say(f"silent: {', '.join(silenced)}: all completions whole")
        executions = [entry["path"].rsplit("/", 1)[1] for entry in deployment.members["cues"].log() if entry.get("method") == "POST"]
        for key, verdicts in keys:
            n = executions.count(key)
            scenario.check(n <= 1, f"{key} ran {n} times")
            scenario.check(verdicts[-1] != "ran" or n == 1, f"{key}: {verdicts} but {n} executions")
            scenario.check(set(verdicts) != {"not-run"} or n == 0, f"{key}: {verdicts} but {n} executions")
        script.say("publishes: none twice, verdicts agree with the service's log")
    return script.text()
