"""HTTP/1.1 messages over asyncio streams, as far as the stand-ins need it."""

import asyncio
import json


class Message:
    """One request or answer: first line, headers with lower-case names, body."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body


async def read_head(reader):
    """Returns the first line and the headers, or None at the end."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, found, value = line.partition(":")
        if not found:
            continue
        name, value = name.strip().lower(), value.strip()
        headers[name] = headers[name] + "," + value if name in headers else value
    return lines[0], headers


async def read_chunked(reader):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if size == 0:
            return body


async def read_message(reader, is_answer=False, is_head=False):
    """Returns the next whole message, or None at the end of the connection.
    Raises if the connection ends within a message."""
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    body = b""
    if is_head:
        return Message(first, headers, body)
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = await read_chunked(reader)
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif is_answer and first.split()[1] not in ("204", "304"):
        body = await reader.read()
    return Message(first, headers, body)


def encode(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def encode_json(status, value):
    body = json.dumps(value).encode()
    return encode(f"HTTP/1.1 {status} X", [("Content-Type", "application/json")],
                  body)


def abort(writer):
    writer.transport.abort()
