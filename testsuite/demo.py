#!/usr/bin/env python3
"""Starts a platform, engines, a service without models and three instances, sends a few requests and prints which process
handled each."""

import argparse
import os
import pathlib
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(ROOT / "lib"))

import scenario  # noqa: E402
from deployment import Deployment  # noqa: E402
from transcript import Transcript  # noqa: E402


class Printer(Transcript):
    """A transcript that also prints each line at once."""

    def say(self, text):
        before = len(self.lines)
        super().say(text)
        print("\n".join(self.lines[before:]), flush=True)


def show_logs(script, members):
    script.section("what each process did")
    for name, member in members.items():
        if not member.fault_address:
            continue
        entries = member.log()
        script.say(f"{name}: {len(entries)} log entries")
        for entry in entries[-4:]:
            script.say("  " + ", ".join(f"{key}={entry[key]}" for key in ("event", "model", "method", "path", "key") if key in entry))


def run(folder):
    script = Printer()
    with Deployment(folder) as deployment:
        script.section("start: platform, three engines, a plain service, three instances")
        scenario.start_processes(deployment, engine_flags={"tokens_per_second": 500})
        script.run_bulrushctl(deployment, "entry-0", "config", "apply", str(ROOT / "opera-evening" / "deployment.json"), "--wait")
        deployment.wait_routable("libretto-7b", "tosca-lora", "aida-lora")
        script.run_bulrushctl(deployment, "entry-2", "status")
        addresses = scenario.instance_addresses(deployment)

        script.section("a chat through the first instance")
        chat = {"model": "tosca-lora", "max_tokens": 12, "seed": 7, "messages": [{"role": "user", "content": "Act two, line 12"}]}
        script.call("caller", addresses[0], "POST", "/v1/chat/completions", "zagreb-token", chat)
        script.section("a stream through the second")
        stream = {"model": "tosca-lora", "max_tokens": 12, "seed": 7, "stream": True, "prompt": "Shorter, please"}
        script.stream("caller", addresses[1], "/v1/completions", "zagreb-token", stream, Bulrush_Urgency="live")
        script.section("a call that may run only once, and its resend through another instance")
        for address in addresses[:2]:
            script.call("caller", address, "POST", "/services/cue-board/cues/12", "zagreb-token", {"line": "I lived for art"}, Idempotency_Key="act2-12")
        show_logs(script, deployment.members)
        scenario.stop_instances(script, deployment)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", required=True, help="folder of the built programs")
    arguments = parser.parse_args()
    os.environ["SESSION_BIN"] = arguments.bin
    with tempfile.TemporaryDirectory(prefix="bulrush-demo-") as folder:
        run(folder)


main()
