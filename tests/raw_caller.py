"""Reading of responses on a raw connection, as a caller sees them."""


async def read_answer(stream):
    """Return status and body of an answer; raise EOFError if it is not complete."""
    status, _, body = await read_response(stream)
    return status, body


async def read_response(stream):
    """Return status, headers and body of an answer, as `read_answer` does."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += await _receive(stream)
    head, _, body = data.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").lower().split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines)
    while "content-length" not in headers and not body.endswith(b"0\r\n\r\n"):
        body += await _receive(stream)
    while len(body) < int(headers.get("content-length", 0)):
        body += await _receive(stream)
    return int(first.split()[1]), headers, body


async def _receive(stream):
    part = await stream.recv(65_536)
    if not part:
        raise EOFError("the connection ended before the answer")
    return part
