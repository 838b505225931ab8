"""HTTP client for the test sessions; reads complete responses and streams of server-sent events."""

import dataclasses
import http.client
import json


@dataclasses.dataclass
class Response:
    """A complete response. If the connection failed first, `status` is 0 and `body` names the exception type."""

    status: int
    headers: dict
    body: str

    def json(self):
        return json.loads(self.body)


def call(address, method, target, body=None, headers=None, timeout=30):
    """Sends one request on a new connection."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        data = json.dumps(body) if isinstance(body, (dict, list)) else body
        connection.request(method, target, body=data, headers=headers or {})
        response = connection.getresponse()
        text = response.read().decode()
        return Response(response.status, {k.lower(): v for k, v in response.getheaders()}, text)
    except (OSError, http.client.HTTPException) as error:
        return Response(0, {}, type(error).__name__)
    finally:
        connection.close()


@dataclasses.dataclass
class Event:
    """One server-sent event."""

    id: str
    name: str
    data: str


class Stream:
    """Reads server-sent events one at a time; `is_cut` is true if the connection failed before the last chunk."""

    def __init__(self, address, target, body, headers, timeout=30):
        self.connection = http.client.HTTPConnection(*address, timeout=timeout)
        self.connection.request("POST", target, body=json.dumps(body), headers=headers)
        self.response = self.connection.getresponse()
        self.status = self.response.status
        self.headers = {k.lower(): v for k, v in self.response.getheaders()}
        self.is_cut = False

    def events(self):
        event = Event("", "", "")
        while True:
            try:
                line = self.response.readline()
            except (OSError, http.client.HTTPException):
                self.is_cut = True
                return
            if not line:
                return
            text = line.decode().rstrip("\r\n")
            field, _, value = text.partition(": ")
            if field == "id":
                event.id = value
            elif field == "event":
                event.name = value
            elif field == "data":
                event.data = value
            elif not text and event.data:
                yield event
                event = Event("", "", "")

    def close(self):
        self.connection.close()
