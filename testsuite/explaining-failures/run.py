"""Three failed requests; the cause of each is found from its id with `bulrushctl explain`, as docs/OPERATIONS.md describes.

Guards against failures that the logs do not explain: a decision that is not logged, or is logged without its inputs.
"""

import re
import subprocess

import serving_site
from processes import binary, wait_until
from serving_site import brief_request, checkout_request, describe
from transcript import Transcript


def explain(script, site, outcome, fields):
    """Records the decisions that were logged for a request, with the given fields only; returns the state before them."""
    logs = [str(it.process.log_path) for it in site.instances.values()]
    done = subprocess.run([binary("bulrushctl"), "explain", outcome.request, *logs], capture_output=True, text=True, check=False)
    script.say(f"explain: exit status {done.returncode}")
    known_state, _, decisions = done.stdout.partition("what was decided:")
    for line in decisions.strip().splitlines():
        found = [f"{name}={value}" for name, value in re.findall(r'(\w+)=("[^"]*"|\S+)', line) if name in ("event", *fields)]
        script.say("  " + " ".join(found))
    return known_state


def refused_request(script, site, instance):
    script.section("refused: its upstreams are full")
    for name in ("plain-0", "plain-1"):
        site.workers[name].shed_share = 1.0
    outcome = site.call(instance, checkout_request())
    script.say(f"caller: {describe(outcome)} retry-after={'retry-after' in outcome.headers}")
    explain(script, site, outcome, ["verdict", "decision", "outcome", "status"])
    for name in ("plain-0", "plain-1"):
        site.workers[name].shed_share = 0.0


def cut_stream(script, site, instance):
    script.section("cut: its upstream broke off in the middle of the stream")
    site.workers["engine-2"].cut_share = 1.0
    outcome = site.call(instance, brief_request("m-3"))
    script.say(f"caller: {len(outcome.events)} event, complete={outcome.is_complete}")
    explain(script, site, outcome, ["upstream", "verdict", "decision", "outcome", "events"])
    site.workers["engine-2"].cut_share = 0.0


def stale_upstream_list(script, site, instances):
    script.section("old belief: the only upstream of its model is gone, and nobody may give orders yet")
    holder = next(it for it in instances if "event=lease-acquired" in it.log())
    other = next(it for it in instances if it is not holder)
    holder.process.kill()
    site.run_coroutine(site.workers["engine-2"].crash())
    for text in ("event=upstream-removed upstream=engine-2 ", "event=dependency-lost dependency=placement-holder "):
        wait_until(lambda it=text: it in other.log(), text)
    outcome = site.call(other, brief_request("m-3"))
    script.say(f"caller: {describe(outcome)}")
    known_state = explain(script, site, outcome, ["model", "outcome", "verdict", "attempts"])
    script.say(f"the holder was lost before: {'dependency-lost dependency=placement-holder' in known_state}")


def run(folder):
    script = Transcript()
    with serving_site.open_site(folder) as site:
        instances = serving_site.start_instances(site)
        site.wait_served(instances[0], brief_request("m-4"), "every model is placed")
        refused_request(script, site, instances[0])
        cut_stream(script, site, instances[0])
        stale_upstream_list(script, site, instances)
        serving_site.report_violations(script, site)
    return script.text()
