"""Streams while engines abort, stall, delay and crash, and responses that carry the id of another request.

Guards against: a truncated stream without an error event; a stream with repeated or missing events or events of another
request; a response of one attempt that reaches another caller. Each text is compared with the output of a fault-free engine.
"""

import collections
import json
import os
import random
import threading

import scenario
import http_client as http
from deployment import Deployment
from transcript import Transcript, content

STREAMS = 300
THREADS = 6
TOKENS = 24
ENGINE = {"tokens_per_second": 300}
FAULTS = [("token", "cut"), ("token", "drop"), ("token", "mute"), ("answer", "cut"), ("answer", "lose-answer"),
          ("answer", "drop"), ("accept", "drop"), ("accept", "refuse"), ("token", "delay"), ("answer-id", "refuse")]
DEADLINE = {"Bulrush-Deadline": "15s"}


def body(number, is_stream):
    return {"model": "tosca-lora", "prompt": f"line {number}", "max_tokens": TOKENS, "seed": number, "stream": is_stream}


def expected(address, number):
    """Returns the text that an engine generates for the request when it is called directly."""
    response = http.call(address, "POST", "/v1/completions", body(number, False), {"X-Request-Id": f"direct-{number}"})
    return response.json()["choices"][0]["text"]


def read_stream(address, number):
    """Returns (outcome, text); the outcome is done, error, refused-VERDICT or cut."""
    headers = {"Authorization": f"Bearer {scenario.TOKEN}", **DEADLINE}
    stream = http.Stream(address, "/v1/completions", body(number, True), headers)
    if stream.status != 200:
        problem = json.loads(stream.response.read())
        stream.close()
        return f"refused-{problem['verdict']}", ""
    text, ids, outcome = "", [], "cut"
    for event in stream.events():
        if event.name == "error":
            outcome = "error"
        elif event.data == "[DONE]":
            outcome = "done"
        else:
            ids.append(event.id)
            text += content(event.data)
    stream.close()
    scenario.check(ids == [str(n) for n in range(len(ids))], f"stream {number}: event ids are not consecutive: {ids}")
    return outcome, text


def read_whole(address, number):
    headers = {"Authorization": f"Bearer {scenario.TOKEN}", **DEADLINE}
    response = http.call(address, "POST", "/v1/completions", body(number, False), headers)
    if response.status != 200:
        return "refused", ""
    return "done", response.json()["choices"][0]["text"]


class Load:
    """Sends requests from several threads and records the outcomes."""

    def __init__(self, deployment, rng):
        self.deployment = deployment
        self.numbers = iter(range(STREAMS))
        self.lock = threading.Lock()
        self.rng = rng
        self.results = {}
        self.failures = []

    def next(self):
        with self.lock:
            number = next(self.numbers, None)
            if number is None:
                return None
            if self.rng.random() < 0.6:
                self.inject_fault()
            return number, self.deployment.members[self.rng.choice(scenario.INSTANCES)].address

    def inject_fault(self):
        """Injects a fault into a random engine; does nothing if that engine is restarting."""
        engine = self.deployment.members[self.rng.choice(scenario.ENGINES)]
        point, action = self.rng.choice(FAULTS)
        try:
            engine.inject_fault(point, action, delay_ms=self.rng.choice([20, 200]) if action == "delay" else 0)
        except RuntimeError:
            pass

    def work(self):
        try:
            while (item := self.next()) is not None:
                number, address = item
                reader = read_whole if number % 5 == 4 else read_stream
                self.results[number] = reader(address, number)
        except Exception as error:  # pylint: disable=broad-except
            self.failures.append(error)


def replace_engines(deployment, is_done):
    """Kills one engine after the other and restarts it with the next incarnation until `is_done()`."""
    incarnation = 1
    while not is_done():
        incarnation += 1
        for name, zone in zip(scenario.ENGINES, scenario.ZONES):
            deployment.sleep(0.7)
            deployment.members[name].process.kill()
            deployment.sleep(0.1)
            deployment.start_engine(name, zone, scenario.MODELS, incarnation=incarnation, **ENGINE)


def run(folder):
    seed = int(os.environ.get("SESSION_SEED", "20261204"))
    print(f"streams-under-faults: seed {seed}")
    script = Transcript()
    with Deployment(folder) as deployment:
        scenario.start(deployment, engine_flags=ENGINE)
        direct = deployment.members["engine-0"].address
        texts = [expected(direct, number) for number in range(STREAMS)]
        load = Load(deployment, random.Random(seed))
        threads = [threading.Thread(target=load.work) for _ in range(THREADS)]
        for it in threads:
            it.start()
        replace_engines(deployment, lambda: not any(it.is_alive() for it in threads))
        for it in threads:
            it.join()
        if load.failures:
            raise load.failures[0]
        for number, (outcome, text) in load.results.items():
            if outcome == "done":
                scenario.check(text == texts[number], f"request {number} is complete but its text differs: {text!r} {texts[number]!r}")
            else:
                scenario.check(texts[number].startswith(text), f"request {number} ({outcome}) has text that is not its own: {text!r}")
            scenario.check(outcome != "cut", f"stream {number} ended without [DONE] or an error event")
        counts = collections.Counter(outcome for outcome, _ in load.results.values())
        print(f"streams-under-faults: {dict(counts)}")
        script.say(f"{len(load.results)} answers: each whole and its own, or with an explicit error")
    return script.text()
