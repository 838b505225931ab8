"""Requests of a shop: completions, an order that is retried through another instance, and payments whose response is lost.

Guards against: an order or payment that runs twice because its response was lost, and the verdict not-run for a call that
ran.
"""

import pathlib

import scenario
from deployment import Deployment
from transcript import Transcript

ZONES = ["quay-a", "quay-b", "turlough"]
MODELS = ["lore-13b:1:26", "card-lora:1:1"]
HERE = pathlib.Path(__file__).parent


def send_completions(script, addresses):
    script.section("a long campaign note, then a gift card while the customer waits")
    note = {"model": "lore-13b", "max_tokens": 40, "seed": 1, "prompt": "The tower stands in the bog. " * 40}
    script.call("westport", addresses[0], "POST", "/v1/completions", "westport-token", note)
    card = {"model": "card-lora", "max_tokens": 8, "seed": 1, "stream": True, "messages": [{"role": "user", "content": "For Aoife"}]}
    script.stream("westport", addresses[1], "/v1/chat/completions", "westport-token", card, Bulrush_Urgency="live")


def order(script, addresses, shop):
    script.section("an order, and its resend through another instance")
    body = {"item": "dice tower", "engraving": "For Aoife"}
    for address in addresses[:2]:
        script.call("westport", address, "POST", "/services/shop/orders/1", "westport-token", body, Idempotency_Key="order-1")
    script.section("a payment whose answer is lost on the way from the service")
    shop.inject_fault("answer", "lose-answer", match="/payments/1")
    pay = {"amount": "48.00"}
    script.call("westport", addresses[0], "POST", "/services/shop/payments/1", "westport-token", pay, Idempotency_Key="pay-1")
    shop.clear_faults()
    script.call("westport", addresses[2], "POST", "/services/shop/payments/1", "westport-token", pay, Idempotency_Key="pay-1")
    script.section("a payment that the service refuses to start")
    shop.inject_fault("accept", "refuse", match="/payments/2")
    script.call("westport", addresses[0], "POST", "/services/shop/payments/2", "westport-token", pay, Idempotency_Key="pay-2")


def lose_store(script, deployment, addresses):
    script.section("the table service is down: nothing is sent that cannot be recorded")
    deployment.platform.inject_fault("table-read", "refuse", count=1000000)
    deployment.platform.inject_fault("table-commit", "refuse", count=1000000)
    pay = {"amount": "12.00"}
    script.call("westport", addresses[1], "POST", "/services/shop/payments/3", "westport-token", pay, Idempotency_Key="pay-3")
    script.call("westport", addresses[1], "GET", "/services/shop/orders/1", "westport-token")
    deployment.platform.clear_faults()
    script.call("westport", addresses[1], "POST", "/services/shop/payments/3", "westport-token", pay, Idempotency_Key="pay-3")


def run(folder):
    script = Transcript()
    with Deployment(folder) as deployment:
        scenario.start_processes(deployment, zones=ZONES, models=MODELS, service="shop")
        script.section("the operator applies the configuration")
        script.run_bulrushctl(deployment, "entry-0", "config", "apply", str(HERE / "deployment.json"), "--wait", "--output=json")
        deployment.wait_routable("lore-13b", "card-lora")
        addresses = scenario.instance_addresses(deployment)
        members = deployment.members
        send_completions(script, addresses)
        order(script, addresses, members[scenario.SERVICE])
        lose_store(script, deployment, addresses)
        script.executions("what the engines ran", [members[it] for it in scenario.ENGINES], ["event", "model", "tokens"])
        script.executions("what the shop service ran", [members[scenario.SERVICE]], ["method", "path", "key"])
        scenario.stop_instances(script, deployment)
    return script.text()
