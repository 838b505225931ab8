"""Shared setup of the sessions: processes in three availability zones, the default configuration, and checks."""

import json
import pathlib

ZONES = ["zg-1", "st-1", "ri-1"]
MODELS = ["libretto-7b:1:14", "tosca-lora:1:1", "aida-lora:1:1"]
INSTANCES = ["entry-0", "entry-1", "entry-2"]
ENGINES = ["engine-0", "engine-1", "engine-2"]
SERVICE = "cues"
TOKEN = "zagreb-token"
CONFIGURATION = pathlib.Path(__file__).resolve().parent.parent / "opera-evening" / "deployment.json"


def start_processes(deployment, engines=3, instances=3, engine_flags=None, instance_flags=None, zones=None, models=None,
                    service="cue-board"):
    """Starts the platform, engines, a service without models and instances, and waits until the instances are ready."""
    zones = zones or ZONES
    deployment.start_platform()
    for number in range(engines):
        flags = {"tokens_per_second": 5000, **(engine_flags or {})}
        deployment.start_engine(ENGINES[number], zones[number], models or MODELS, **flags)
    deployment.start_service(SERVICE, service, zones)
    for number in range(instances):
        deployment.start_instance(INSTANCES[number], zones[number], **(instance_flags or {}))
    deployment.wait_ready(*INSTANCES[:instances])


def start(deployment, **options):
    """Starts the processes, applies the default configuration and waits until requests can be served."""
    start_processes(deployment, **options)
    apply(deployment, "entry-0", json.loads(CONFIGURATION.read_text()))
    deployment.wait_routable("libretto-7b", "tosca-lora", "aida-lora")


def apply(deployment, instance, document):
    """Applies a configuration document and waits until bulrushctl reports that it is in force."""
    status, output, errors = deployment.run_bulrushctl(instance, "config", "apply", "-", "--wait", stdin=json.dumps(document))
    if status != 0:
        raise RuntimeError(f"bulrushctl config apply failed with exit status {status}: {output} {errors}")


def instance_addresses(deployment):
    """Returns the addresses on which the three instances accept requests from callers."""
    return [deployment.members[name].address for name in INSTANCES]


def stop_instances(script, deployment):
    """Stops the instances with SIGTERM and writes their exit statuses to the transcript."""
    script.section("graceful shutdown")
    for name in INSTANCES:
        script.say(f"{name} exit status {deployment.members[name].process.terminate()}")


def check(condition, what):
    """Fails the session with `what` as the message if the condition is false."""
    if not condition:
        raise AssertionError(what)
