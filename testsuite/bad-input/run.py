"""Malformed, oversized, slow and non-HTTP input on every listener of a running instance.

Guards against: a daemon that crashes, hangs or forwards a request on bad input; an error response without a 4xx status and
the verdict not-run; connections that a slow or silent client keeps open forever.
"""

import json
import random
import socket

import scenario
import http_client as http
from deployment import OPERATOR_TOKEN, Deployment
from processes import wait_until
from transcript import Transcript

LIMITS = {"read_timeout": "300ms", "write_timeout": "300ms", "idle_timeout": "300ms", "header_limit": "8KiB",
          "body_limit": "64KiB", "connection_limit": "20"}
RANDOM_INPUTS = 200


def send_raw(address, data, is_end_sent=False):
    """Sends bytes, reads until the connection is closed and returns the status code and verdict of the response."""
    with socket.create_connection(address, timeout=10) as connection:
        received = b""
        try:
            connection.sendall(data)
            if is_end_sent:
                connection.shutdown(socket.SHUT_WR)
            while chunk := connection.recv(65536):
                received += chunk
        except ConnectionError:
            pass
    text = received.decode(errors="replace")
    if not text:
        return "closed"
    verdict = next((line.split(": ")[1] for line in text.split("\r\n") if line.lower().startswith("bulrush-verdict")), "none")
    return f"{text.split(' ')[1]} verdict={verdict}"


def malformed_http(script, address):
    script.section("malformed HTTP")
    host = b"Host: a\r\n"
    cases = {
        "no HTTP at all": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
        "bad version": b"GET / HTTP/9.9\r\n" + host + b"\r\n",
        "bad header": b"GET / HTTP/1.1\r\nno colon\r\n\r\n",
        "two lengths": b"POST / HTTP/1.1\r\n" + host + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        "length and chunks": b"POST / HTTP/1.1\r\n" + host + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "bad chunk": b"POST / HTTP/1.1\r\n" + host + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        "header too large": b"GET / HTTP/1.1\r\nX: " + b"x" * 20000 + b"\r\n\r\n",
        "body too large": b"POST /v1/completions HTTP/1.1\r\n" + host + b"Content-Length: 100000\r\n\r\n" + b"x" * 100000,
    }
    for name, data in cases.items():
        script.say(f"{name}: {send_raw(address, data)}")


def slow_clients(script, deployment, address):
    script.section("slow clients are disconnected")
    script.say(f"half a header: {send_raw(address, b'GET / HTTP/1.1' + bytes([13, 10]) + b'Host:')}")
    script.say(f"half a body: {send_raw(address, b'POST / HTTP/1.1' + bytes([13, 10]) + b'Content-Length: 9' + bytes([13, 10, 13, 10]) + b'ab')}")
    script.say(f"nothing: {send_raw(address, b'')}")
    body = json.dumps({"model": "tosca-lora", "prompt": "x", "max_tokens": 65000, "seed": 1, "stream": True})
    request = (f"POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {scenario.TOKEN}\r\n"
               f"Content-Length: {len(body)}\r\n\r\n{body}").encode()
    with socket.socket() as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.connect(address)
        connection.sendall(request)
        # The client reads nothing, so the instance must abort the stream after the write timeout and cancel it at the engine.
        engine = deployment.members["engine-0"]
        wait_until(lambda: any(entry.get("event") == "cancel" for entry in engine.log()), "the engine logs the cancellation of the unread stream")
    script.say("a stream that is not read: cancelled at the engine")


def bad_bodies(script, address):
    script.section("bodies")
    bodies = ["", "[]", "null", "{", '{"model":"tosca-lora"}', '{"model":7,"prompt":"x"}',
              '{"model":"tosca-lora","prompt":"x","max_tokens":-1}', '{"model":"tosca-lora","prompt":"x","stream":"yes"}',
              '{"model":"tosca-lora","prompt":"\ud800"}'.encode("utf-8", "surrogatepass"), "[" * 50000,
              '{"model":"tosca-lora","model":"aida-lora","prompt":"x"}']
    headers = {"Authorization": f"Bearer {scenario.TOKEN}"}
    for body in bodies:
        response = http.call(address, "POST", "/v1/completions", body, headers)
        shown = body if isinstance(body, str) else repr(body)
        script.say(f"{shown[:60]}: {response.status} {response.headers.get('bulrush-verdict')}")


def bad_service_paths(script, address):
    script.section("service paths")
    headers = {"Authorization": f"Bearer {scenario.TOKEN}", "Idempotency-Key": "k"}
    for path in ("/services/", "/services/cue-board", "/services/cue-board/../x", "/services/cue-board/%2e%2e/x",
                 "/services/cue-board//x", "/services/cue-board/%zz", "/services/cue-board/a%00b"):
        response = http.call(address, "POST", path, "{}", headers)
        script.say(f"{path}: {response.status} {response.headers.get('bulrush-verdict')}")
    for key in ("", "x" * 129, "tab\there"):
        response = http.call(address, "POST", "/services/cue-board/x", "{}", {**headers, "Idempotency-Key": key})
        script.say(f"key of {len(key)}: {response.status} {response.headers.get('bulrush-verdict')}")


def bad_operator_requests(script, address):
    script.section("the operators' listener")
    for token, body in ((None, "{}"), ("wrong", "{}"), (scenario.TOKEN, "{}"), (OPERATOR_TOKEN, "{"), (OPERATOR_TOKEN, "[]"),
                        (OPERATOR_TOKEN, '{"change_id":1}')):
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        response = http.call(address, "POST", "/operator/v1/changes", body, headers)
        script.say(f"{'token' if token else 'no token'} {body}: {response.status}")


def random_input(script, deployment, member):
    """Sends random bytes and truncated or altered copies of a valid request to the three ports of an instance."""
    rng = random.Random(20261204)
    valid = b"POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}"
    for address in (member.address, member.operator_address, (member.address[0], member.peer_port)):
        for _ in range(RANDOM_INPUTS):
            data = bytearray(valid if rng.random() < 0.7 else rng.randbytes(rng.randrange(1, 400)))
            for _ in range(rng.randrange(4)):
                data[rng.randrange(len(data))] = rng.randrange(256)
            with socket.create_connection(address, timeout=10) as connection:
                connection.sendall(bytes(data[:rng.randrange(1, len(data) + 1)]))
    scenario.check(member.process.is_running(), "the daemon exited on random input")
    deployment.wait_ready("entry-0")
    script.section("random input on all three ports")
    script.say("the daemon lives on")


def run(folder):
    script = Transcript()
    with Deployment(folder) as deployment:
        scenario.start(deployment, engines=1, instances=1, engine_flags={"tokens_per_second": 100000}, instance_flags=LIMITS)
        member = deployment.members["entry-0"]
        malformed_http(script, member.address)
        bad_bodies(script, member.address)
        bad_service_paths(script, member.address)
        bad_operator_requests(script, member.operator_address)
        slow_clients(script, deployment, member.address)
        random_input(script, deployment, member)
        script.section("still serving")
        body = {"model": "tosca-lora", "prompt": "x", "max_tokens": 4, "seed": 1}
        script.call("zagreb", member.address, "POST", "/v1/completions", scenario.TOKEN, body)
        script.executions("what the service ran", [deployment.members["cues"]], ["method", "path"])
    return script.text()
