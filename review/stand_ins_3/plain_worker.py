"""A sound worker in the process of a case: reads whole requests and answers each with what a handler returns."""

import asyncio

HOST = "127.0.0.1"


class PlainWorker:
    """`answer(method, path, headers, body)` returns the status, further headers and the pieces of the body; a body in one piece
    has a length, others come in chunks."""

    def __init__(self, record, name, answer):
        self.record, self.name, self.answer = record, name, answer
        self.runs = []  # (request id, method, path, headers) in the order of their beginning
        self.server, self.port = None, 0

    async def __aenter__(self):
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_):
        self.server.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, path, _ = head[0].split(" ")
                headers = {name.lower(): value.strip() for name, _, value in (it.partition(":") for it in head[1:] if it)}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                await self._respond(writer, method, path, headers, body)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _respond(self, writer, method, path, headers, body):
        name = headers.get("bulrushstack-request-id", "")
        lines = [f"Bulrushstack-Request-Id: {name}"]
        if headers.get("bulrushstack-target-instance", self.name) != self.name:
            writer.write("\r\n".join(["HTTP/1.1 421 Misdirected Request", "Bulrushstack-Not-Executed: 1", "Content-Length: 0",
                                      *lines, "", ""]).encode())
            return
        self.runs.append((name, method, path, headers))
        status, fields, pieces = self.answer(method, path, headers, body)
        lines += [f"Bulrushstack-Response-Seal: seal-{name}", *(f"{key}: {value}" for key, value in fields)]
        lines.append(f"Content-Length: {len(pieces[0])}" if len(pieces) == 1 else "Transfer-Encoding: chunked")
        writer.write("\r\n".join([f"HTTP/1.1 {status} Status", *lines, "", ""]).encode())
        if method != "HEAD":
            for piece in pieces:
                writer.write(piece if len(pieces) == 1 else b"%x\r\n%s\r\n" % (len(piece), piece))
                await writer.drain()
            if len(pieces) > 1:
                writer.write(b"0\r\n\r\n")
        await writer.drain()
