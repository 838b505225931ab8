"""Completions, batch work, streams and service calls of two teams (opera houses) in three availability zones.

Guards against: a response, model or cue of one team that reaches another; a cue that is published twice by a retry;
a stream with missing or repeated events, or events without an id.
"""

import pathlib

import scenario
from deployment import Deployment
from transcript import Transcript

HERE = pathlib.Path(__file__).parent


def configure(script, deployment):
    script.section("the operator applies the configuration and sees it in force")
    script.run_bulrushctl(deployment, "entry-0", "config", "apply", str(HERE / "deployment.json"), "--wait", "--output=json")
    script.run_bulrushctl(deployment, "entry-1", "team", "list", "--output=json")
    deployment.wait_routable("libretto-7b", "tosca-lora", "aida-lora")


def rehearse(script, addresses):
    script.section("rehearsal in Zagreb")
    script.call("zagreb", addresses[0], "GET", "/v1/models", "zagreb-token")
    draft = {"model": "tosca-lora", "max_tokens": 12, "seed": 7, "messages": [{"role": "user", "content": "Vissi d'arte, line 1"}]}
    script.call("zagreb", addresses[0], "POST", "/v1/chat/completions", "zagreb-token", draft)
    script.call("zagreb", addresses[1], "POST", "/v1/chat/completions", "zagreb-token", draft)
    script.section("overnight batch in Split")
    batch = {"model": "aida-lora", "max_tokens": 20, "seed": 7, "prompt": "Ritorna vincitor, all lines"}
    script.call("split", addresses[2], "POST", "/v1/completions", "split-token", batch, Bulrush_Urgency="batch")
    script.section("performance in Zagreb: a short rephrasing as a stream")
    phrase = {"model": "tosca-lora", "max_tokens": 6, "seed": 7, "stream": True, "prompt": "Shorter, please"}
    script.stream("zagreb", addresses[0], "/v1/completions", "zagreb-token", phrase, Bulrush_Urgency="live", Bulrush_Deadline="15s")


def publish(script, addresses):
    script.section("a cue is published once, whatever is sent again")
    cue = {"line": "I lived for art"}
    for address in addresses:
        script.call("zagreb", address, "POST", "/services/cue-board/cues/12", "zagreb-token", cue, Idempotency_Key="act2-12")
    script.call("zagreb", addresses[0], "POST", "/services/cue-board/cues/12", "zagreb-token", {"line": "other"}, Idempotency_Key="act2-12")
    script.call("zagreb", addresses[0], "POST", "/services/cue-board/cues/13", "zagreb-token", cue)
    script.call("zagreb", addresses[0], "PUT", "/services/cue-board/cues/13", "zagreb-token", cue)
    script.section("the same key of another house is another request")
    script.call("split", addresses[1], "POST", "/services/cue-board/cues/40", "split-token", {"line": "Return a victor"}, Idempotency_Key="act2-12")


def send_forbidden_requests(script, addresses):
    script.section("what is not permitted is refused and did not run")
    foreign = {"model": "aida-lora", "prompt": "x"}
    script.call("zagreb", addresses[0], "POST", "/v1/completions", "zagreb-token", foreign)
    script.call("zagreb", addresses[0], "POST", "/v1/completions", "zagreb-token", {"model": "no-such-model", "prompt": "x"})
    script.call("nobody", addresses[0], "POST", "/v1/completions", "wrong-token", foreign)
    script.call("nobody", addresses[0], "GET", "/v1/models")
    script.call("zagreb", addresses[0], "POST", "/v1/completions", "zagreb-token", "{\"model\":")
    script.call("zagreb", addresses[0], "POST", "/v1/completions", "zagreb-token", {"model": "tosca-lora", "prompt": 4})
    script.call("zagreb", addresses[0], "GET", "/services/till/x", "zagreb-token")
    script.call("zagreb", addresses[0], "DELETE", "/v1/models", "zagreb-token")
    script.call("zagreb", addresses[0], "GET", "/v1/models", "zagreb-token", Bulrush_Deadlin="1s")


def run(folder):
    script = Transcript()
    with Deployment(folder) as deployment:
        scenario.start_processes(deployment)
        configure(script, deployment)
        addresses = scenario.instance_addresses(deployment)
        rehearse(script, addresses)
        publish(script, addresses)
        send_forbidden_requests(script, addresses)
        members = deployment.members
        script.executions("what the engines ran", [members[it] for it in scenario.ENGINES], ["event", "model", "tokens"])
        script.executions("what the cue board ran", [members[scenario.SERVICE]], ["method", "path", "key"])
        scenario.stop_instances(script, deployment)
    return script.text()
