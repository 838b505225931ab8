"""An operator waits until a change is in force, through an instance that rarely reads the instance list.

Guards against `--wait` that returns while an instance that is ready still serves the previous revision: the instance
that accepts the change does not know the newest instance yet.
"""

import json

import scenario
from deployment import Deployment
from transcript import Transcript

RARE = "2s"


def run(folder):
    script = Transcript()
    with Deployment(folder) as deployment:
        deployment.start_platform()
        deployment.start_engine("engine-0", "zg-1", scenario.MODELS)
        deployment.start_service(scenario.SERVICE, "cue-board", scenario.ZONES)
        deployment.start_instance("entry-0", "zg-1", roster_poll_interval=RARE)
        deployment.wait_ready("entry-0")
        # Learns of a new revision from its own polls of the store only, since no instance sends it heartbeats.
        deployment.start_instance("entry-1", "st-1", heartbeat_interval=RARE, configuration_poll_interval="1s")
        deployment.wait_ready("entry-1")
        script.section("a change through the older instance is in force on the newer one")
        document = json.loads(scenario.CONFIGURATION.read_text())
        status, _, _ = deployment.run_bulrushctl("entry-0", "config", "apply", "-", "--wait", stdin=json.dumps(document))
        script.say(f"exit status {status}")
        _, output, _ = deployment.run_bulrushctl("entry-1", "team", "list", "--output=json")
        script.say(f"teams on entry-1: {sorted(json.loads(output))}")
    return script.text()
