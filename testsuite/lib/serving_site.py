"""The deployment of the sessions on the platform: engines, a plain service, two instances, and requests to them."""

import contextlib

import promises
from caller import Ask
from platform_site import Site

ZONES = ["quay-a", "quay-b", "turlough"]
BRIEF, NOTE, CHECKOUT, LOOKUP, EXTRA = "/brief/", "/note/", "/checkout/", "/lookup/", "/extra/"


FIVE_MODELS = {"m-0": 0, "m-1": 0, "m-2": 3, "m-3": 0, "m-4": 0}  # name -> count of adapters


@contextlib.contextmanager
def open_site(folder, engines=3, placed=(("m-0", "m-1"), ("m-0", "m-2"), ("m-3",)), models=None, **options):
    """Yields a site with engines of three places, five models, of which m-4 is nowhere, and two plain workers."""
    with Site(folder, **options) as site:
        populate(site, engines, placed, models or FIVE_MODELS)
        yield site


def populate(site, engines, placed, models):
    site.models = models
    for number in range(engines):
        site.add_engine(f"engine-{number}", ZONES[number], placed[number])
    for number in range(2):
        site.add_plain(f"plain-{number}", ZONES[number])
    site.add_route(BRIEF, "stream", "models", attempts=2)
    site.add_route(NOTE, "stream", "models", attempts=3, resumable=True)
    site.add_route(CHECKOUT, "non_idempotent", "board", attempts=3)
    site.add_route(LOOKUP, "idempotent", "board", attempts=3)
    site.configure()


def start_instances(site, count=2):
    instances = [site.start_instance(f"front-{number}", ZONES[number % len(ZONES)]) for number in range(count)]
    site.wait_ready(*instances)
    return instances


def generation(prefix, model, output_tokens, **options):
    return Ask(prefix + "1", "stream", model=model, output_tokens=output_tokens, **options)


def brief(model="m-0", output_tokens=40, **options):
    return generation(BRIEF, model, output_tokens, **options)


def note(model="m-0", output_tokens=40, **options):
    return generation(NOTE, model, output_tokens, **options)


def checkout(**options):
    return Ask(CHECKOUT + "order", "non_idempotent", body=b'{"tower":1}', **options)


def read(path):
    return Ask(path, "idempotent", "GET")


def lookup():
    return read(LOOKUP + "7")


def extra():
    return read(EXTRA + "1")


def describe(outcome):
    """One line without times or ids."""
    if outcome.status == 0:
        return f"no answer ({outcome.error})"
    text = f"{outcome.status}"
    if outcome.events:
        text += f" events={len(outcome.events)}"
    if outcome.status == 200:
        text += f" complete={outcome.is_complete}"
    return text


def report_promises(script, site):
    script.section("promises of the platform's pages, from what callers and workers saw")
    found = promises.complaints(site)
    for line in found:
        script.say(line)
    script.say(f"broken: {len(found)}")
