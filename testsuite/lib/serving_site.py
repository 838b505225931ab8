"""Deployment that the sessions with the platform binding share: engines, a service without models, two instances, requests."""

import contextlib

import promises
from caller import RequestSpec
from platform_site import Site

ZONES = ["quay-a", "quay-b", "turlough"]
BRIEF_PREFIX, NOTE_PREFIX, CHECKOUT_PREFIX, LOOKUP_PREFIX, EXTRA_PREFIX = "/brief/", "/note/", "/checkout/", "/lookup/", "/extra/"


FIVE_MODELS = {"m-0": 0, "m-1": 0, "m-2": 3, "m-3": 0, "m-4": 0}  # model name -> number of its adapters


@contextlib.contextmanager
def open_site(folder, engines=3, placed=(("m-0", "m-1"), ("m-0", "m-2"), ("m-3",)), models=None, **options):
    """Yields a site with engines that hold up to three models, five models, of which m-4 is loaded nowhere, and two plain
    workers, which hold no models."""
    with Site(folder, **options) as site:
        populate(site, engines, placed, models or FIVE_MODELS)
        yield site


def populate(site, engines, placed, models):
    site.models = models
    for number in range(engines):
        site.add_engine(f"engine-{number}", ZONES[number % len(ZONES)], placed[number])
    for number in range(2):
        site.add_plain_worker(f"plain-{number}", ZONES[number])
    site.add_route(BRIEF_PREFIX, "stream", "models", attempts=2)
    site.add_route(NOTE_PREFIX, "stream", "models", attempts=3, resumable=True)
    site.add_route(CHECKOUT_PREFIX, "non_idempotent", "board", attempts=3)
    site.add_route(LOOKUP_PREFIX, "idempotent", "board", attempts=3)
    site.configure()


def start_instances(site, count=2):
    instances = [site.start_instance(f"front-{number}", ZONES[number % len(ZONES)]) for number in range(count)]
    site.wait_ready(*instances)
    return instances


def generation_request(prefix, model, output_tokens, **options):
    return RequestSpec(prefix + "1", "stream", model=model, output_tokens=output_tokens, **options)


def brief_request(model="m-0", output_tokens=40, **options):
    return generation_request(BRIEF_PREFIX, model, output_tokens, **options)


def note_request(model="m-0", output_tokens=40, **options):
    return generation_request(NOTE_PREFIX, model, output_tokens, **options)


def checkout_request(**options):
    return RequestSpec(CHECKOUT_PREFIX + "order", "non_idempotent", body=b'{"tower":1}', **options)


def get_request(path):
    return RequestSpec(path, "idempotent", "GET")


def lookup_request():
    return get_request(LOOKUP_PREFIX + "7")


def extra_request():
    return get_request(EXTRA_PREFIX + "1")


def describe(outcome):
    """Summarises an outcome in one line without times or ids, so that it is the same in each run."""
    if outcome.status == 0:
        return f"no answer ({outcome.error})"
    text = f"{outcome.status}"
    if outcome.events:
        text += f" events={len(outcome.events)}"
    if outcome.status == 200:
        text += f" complete={outcome.is_complete}"
    return text


def report_violations(script, site):
    script.section("promises of the platform's pages, from what callers and workers saw")
    violations = promises.find_violations(site)
    for line in violations:
        script.say(line)
    script.say(f"broken: {len(violations)}")
