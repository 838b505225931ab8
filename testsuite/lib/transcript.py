"""Records the transcript of a session, with ids, digests and timestamps replaced by placeholders."""

import hashlib
import json
import pathlib
import re

import http_client as http

TESTSUITE = str(pathlib.Path(__file__).resolve().parent.parent)

REPLACEMENTS = [
    (re.compile(r"\b[0-9a-f]{64}\b"), "<digest>"),
    (re.compile(r"\b[0-9a-f]{32}\b"), "<id>"),
    (re.compile(r"\b\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z"), "<time>"),
]


def normalise(text):
    text = text.replace(TESTSUITE, "testsuite")
    for pattern, word in REPLACEMENTS:
        text = pattern.sub(word, text)
    return text


class Transcript:
    """The lines of a session's transcript: calls by callers and operators, in order."""

    def __init__(self):
        self.lines = []

    def say(self, text):
        self.lines.extend(normalise(text).rstrip("\n").split("\n"))

    def section(self, title):
        self.say(("\n" if self.lines else "") + f"== {title}")

    def call(self, who, address, method, target, token=None, body=None, **headers):
        """Sends a request and records it with its response."""
        fields = {name.replace("_", "-"): value for name, value in headers.items()}
        if token:
            fields["Authorization"] = f"Bearer {token}"
        response = http.call(address, method, target, body, fields)
        shown = "".join(f" {name}={value}" for name, value in sorted(fields.items()) if name != "Authorization")
        self.say(f"{who}> {method} {target}{shown}")
        verdict = response.headers.get("bulrush-verdict")
        retry = response.headers.get("retry-after")
        suffix = (f" verdict={verdict}" if verdict else "") + (f" retry-after={retry}" if retry else "")
        self.say(f"  {response.status}{suffix} {self.shorten(response)}")
        return response

    @staticmethod
    def shorten(response):
        """Formats a response body; the text of a completion is replaced by its length and digest."""
        try:
            document = json.loads(response.body)
        except ValueError:
            return response.body.strip()
        if isinstance(document, dict) and document.get("choices"):
            text = json.dumps(document["choices"], sort_keys=True)
            return f"model={document.get('model')} choices={len(document['choices'])} text={fingerprint(text)}"
        return json.dumps(document, sort_keys=True)

    def stream(self, who, address, target, token, body, **headers):
        """Reads a stream to its end and records a summary of it; returns the concatenated text."""
        fields = {name.replace("_", "-"): value for name, value in headers.items()}
        fields["Authorization"] = f"Bearer {token}"
        stream = http.Stream(address, target, body, fields)
        events = list(stream.events())
        stream.close()
        self.say(f"{who}> POST {target} (stream)")
        ids = [it.id for it in events if it.id]
        is_ordered = ids == [str(n) for n in range(len(ids))]
        end = events[-1].data if events and not events[-1].id else "none"
        text = "".join(content(it.data) for it in events if it.id)
        self.say(f"  {stream.status} events={len(ids)} ordered={is_ordered} end={end} text={fingerprint(text)}")
        return text

    def run_bulrushctl(self, deployment, instance, *words, stdin=None):
        """Runs bulrushctl and records its output; returns its exit status."""
        status, output, errors = deployment.run_bulrushctl(instance, *words, stdin=stdin)
        self.say(f"operator> bulrushctl {' '.join(words)}")
        for line in (output + errors).splitlines():
            self.say(f"  {line}")
        self.say(f"  exit status {status}")
        return status

    def executions(self, title, members, fields):
        """Records the merged execution logs of stand-ins, sorted, without the names of the stand-ins."""
        rows = [{k: entry[k] for k in fields if k in entry} for member in members for entry in member.log()]
        self.section(title)
        for row in sorted(json.dumps(it, sort_keys=True) for it in rows):
            self.say(row)

    def text(self):
        return "\n".join(self.lines) + "\n"


def fingerprint(text):
    """Identifies a text by its length and the first 8 hexadecimal digits of its SHA-256 digest."""
    return f"{len(text)}:{hashlib.sha256(text.encode()).hexdigest()[:8]}"


def content(data):
    """Returns the generated text in the data of one event of a completion stream."""
    choice = json.loads(data)["choices"][0]
    return choice.get("text") or choice.get("delta", {}).get("content") or ""
