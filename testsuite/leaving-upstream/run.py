"""An engine is marked as leaving while requests arrive; later it returns.

Guards against: new requests to a leaving upstream after 2 s, a request in flight that is aborted when its upstream leaves,
and an upstream that stays excluded after it returned with a higher incarnation.
"""

import threading
import time

import scenario
import http_client as http
from deployment import Deployment
from transcript import Transcript

NOTICE_PERIOD_S = 2.0  # seconds within which every instance must stop sending to a leaving upstream


def chat(deployment, number):
    headers = {"Authorization": f"Bearer {scenario.TOKEN}"}
    body = {"model": "tosca-lora", "prompt": f"line {number}", "max_tokens": 8, "seed": number}
    address = deployment.members[scenario.INSTANCES[number % 3]].address
    return http.call(address, "POST", "/v1/completions", body, headers).status


def count_starts(member):
    return sum(1 for entry in member.log() if entry.get("event") == "start")


def run(folder):
    script = Transcript()
    with Deployment(folder) as deployment:
        # One instance polls the instance list once a minute, so that it must learn from its peers that the engine is leaving.
        scenario.start(deployment, engine_flags={"tokens_per_second": 200})
        deployment.members["entry-2"].process.terminate()
        deployment.start_instance("entry-2", "ri-1", roster_poll_interval="1m")
        deployment.wait_ready("entry-2")
        deployment.wait_routable("tosca-lora")
        leaving = deployment.members["engine-0"]

        stream_result = []
        body = {"model": "tosca-lora", "prompt": "long", "max_tokens": 400, "seed": 1, "stream": True}

        def read_long():
            stream = http.Stream(deployment.members["entry-0"].address, "/v1/completions", body, {"Authorization": f"Bearer {scenario.TOKEN}"})
            stream_result.append(list(stream.events())[-1].data)

        readers = [threading.Thread(target=read_long) for _ in range(3)]
        for it in readers:
            it.start()
        time.sleep(0.3)
        deployment.register("engine-0", state="leaving")
        time.sleep(NOTICE_PERIOD_S)
        before = count_starts(leaving)
        statuses = {chat(deployment, number) for number in range(30)}
        script.say(f"requests after the notice time: statuses {sorted(statuses)}, new work on the leaving engine: {count_starts(leaving) - before}")
        for it in readers:
            it.join()
        script.say(f"streams in flight when it left: {stream_result}")

        leaving.process.terminate()
        deployment.unregister("engine-0")
        deployment.records.pop("engine-0")
        restarted = deployment.start_engine("engine-0", "zg-1", scenario.MODELS, incarnation=2, tokens_per_second=200)
        for name in scenario.ENGINES[1:]:
            deployment.register(name, state="leaving")
        time.sleep(NOTICE_PERIOD_S)
        statuses = {chat(deployment, number) for number in (0, 1, 3, 4)}
        script.say(f"after its return: statuses {sorted(statuses)}, work on the returned engine: {count_starts(restarted)}")
    return script.text()
