"""Two instances serve the users' platform without faults, through a settings reload and a shutdown.

Guards against: an instance that is ready before it can serve; a model or adapter that stays unreachable; a change of the
configuration or settings that does not take effect; a shutdown that aborts a stream or exits with an error; a request with
ambiguous body length that runs.
"""

import signal
import threading

import serving_site
from processes import wait_until
from serving_site import EXTRA_PREFIX, brief_request, checkout_request, describe, extra_request, lookup_request, note_request, get_request
from transcript import Transcript


def serve(script, site, instances):
    script.section("each kind of request through each instance")
    for instance in instances:
        for name, spec in (("stream", brief_request()), ("resumable stream", note_request("m-1")), ("once", checkout_request()), ("read", lookup_request())):
            script.say(f"{instance.name}> {name}: {describe(site.call(instance, spec))}")


def refuse(script, site, instance):
    script.section("what cannot be allowed is refused and does not run")
    before = len(site.runs)
    fields = {"unknown coding": ("Transfer-Encoding", "xchunked"), "two codings": ("Transfer-Encoding", "chunked, identity"),
              "folded line": ("X-Note", "one\r\n two")}
    for name, field in fields.items():
        script.say(f"{name}: {describe(site.call(instance, checkout_request(extra_headers=(field,))))}")
    script.say(f"no route: {describe(site.call(instance, get_request('/nowhere/')))}")
    script.say(f"unknown model: {describe(site.call(instance, brief_request('m-9')))}")
    script.say(f"runs: {len(site.runs) - before}")


def load_on_demand(script, site, instances):
    script.section("a model and an adapter that no engine holds are loaded when they are asked for")
    for name, model in (("model", "m-4"), ("adapter", "m-2/a1")):
        site.wait_served(instances[1], brief_request(model), f"{name} served")
        script.say(f"{name}: served")


def change_configuration(script, site, instances):
    script.section("routes that are added and removed")
    site.add_route(EXTRA_PREFIX, "idempotent", "board")
    site.configure()
    spec = extra_request()
    for instance in instances:
        site.wait_served(instance, spec, f"{instance.name} serves the new route")
    site.remove_route(EXTRA_PREFIX)
    site.configure()
    for instance in instances:
        wait_until(lambda it=instance: site.call(it, spec).status == 404, f"{instance.name} drops the route")
    script.say("in force on both instances")


def reload(script, site, instance):
    script.section("settings: a change with SIGHUP, and bad ones that change nothing")
    path = site.folder / f"{instance.name}.conf"
    text = path.read_text()
    path.write_text(text.replace("BULRUSH_RETRY_RATIO=0.2", "BULRUSH_RETRY_RATIO=much"))
    instance.process.send_signal(signal.SIGHUP)
    wait_until(lambda: "much" in instance.log(), "the log names the invalid setting")
    script.say(f"bad settings: {describe(site.call(instance, lookup_request()))}")
    path.write_text(text.replace("BULRUSH_RETRY_RATIO=0.2", "BULRUSH_RETRY_RATIO=0.3"))
    instance.process.send_signal(signal.SIGHUP)
    wait_until(lambda: "event=reload" in instance.log(), "the log reports the reload")
    script.say(f"good settings: {describe(site.call(instance, lookup_request()))}")


def stop(script, site, instances):
    script.section("a stop while a long stream runs")
    results = []
    thread = threading.Thread(target=lambda: results.append(site.call(instances[0], brief_request(output_tokens=800))))
    running = len(site.runs)
    thread.start()
    wait_until(lambda: len(site.runs) > running, "the engine runs the stream")
    status = instances[0].process.terminate()
    thread.join()
    script.say(f"stream: {describe(results[0])}")
    script.say(f"exit status {status}")
    script.say(f"the other instance: {describe(site.call(instances[1], checkout_request()))}")
    script.say(f"exit status {instances[1].process.terminate()}")


def run(folder):
    script = Transcript()
    with serving_site.open_site(folder) as site:
        instances = serving_site.start_instances(site)
        serve(script, site, instances)
        refuse(script, site, instances[0])
        load_on_demand(script, site, instances)
        change_configuration(script, site, instances)
        reload(script, site, instances[1])
        stop(script, site, instances)
        serving_site.report_violations(script, site)
    return script.text()
