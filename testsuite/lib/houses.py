"""The deployment that most failure sessions use: three availability zones, one plain service, one team."""

import json
import pathlib

ZONES = ["zg-1", "st-1", "ri-1"]
MODELS = ["libretto-7b:1:14", "tosca-lora:1:1", "aida-lora:1:1"]
ENTRIES = ["entry-0", "entry-1", "entry-2"]
ENGINES = ["engine-0", "engine-1", "engine-2"]
TOKEN = "zagreb-token"
CONFIGURATION = pathlib.Path(__file__).resolve().parent.parent / "opera-evening" / "deployment.json"


def start(deployment, engines=3, entries=3, engine_flags=None, entry_flags=None):
    """Starts everything, applies the configuration and waits until requests can be served."""
    deployment.start_platform()
    for number in range(engines):
        deployment.start_engine(ENGINES[number], ZONES[number], MODELS, **{"tokens_per_second": 5000, **(engine_flags or {})})
    deployment.start_service("cues", "cue-board", ZONES)
    for number in range(entries):
        deployment.start_instance(ENTRIES[number], ZONES[number], **(entry_flags or {}))
    deployment.wait_ready(*ENTRIES[:entries])
    apply(deployment, "entry-0", json.loads(CONFIGURATION.read_text()))
    deployment.wait_routable("libretto-7b", "tosca-lora", "aida-lora")


def apply(deployment, instance, document):
    """Applies a configuration file and waits until it is in force."""
    status, output, errors = deployment.control(instance, "config", "apply", "-", "--wait", stdin=json.dumps(document))
    if status != 0:
        raise RuntimeError(f"config apply: {status} {output} {errors}")


def check(condition, what):
    """Fails the session."""
    if not condition:
        raise AssertionError(what)
