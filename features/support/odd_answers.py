"""Answers whose head, framing or trailer is not valid HTTP/1.1, as bytes on the wire."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

ODD_STATUSES: Final = ("000", "001", "099", "101", "600", "999")
"""Statuses that no answer to a plain request may have."""

ODD_BYTES: Final = {
    "a blank": b" ",
    "a tab": b"\t",
    "NUL": b"\x00",
    "0x01": b"\x01",
    "0x0b": b"\x0b",
    "0x0c": b"\x0c",
    "0x1c": b"\x1c",
    "0x1f": b"\x1f",
    "DEL": b"\x7f",
    "0x85": b"\x85",
    "0xa0": b"\xa0",
    "0xe9": b"\xe9",
    "CR": b"\r",
    "a bracket": b"(",
    "a quote": b'"',
    "a slash": b"/",
    "an at sign": b"@",
}
"""Bytes that the name of a field can't have."""

ODD_VALUE_BYTES: Final = ("NUL", "0x01", "0x0b", "0x0c", "0x1c", "0x1f", "DEL", "CR")
"""Those of them that a value can't have either."""

ODD_LENGTHS: Final = ("+27", "-27", "2_7", "0x1b", "27.0", "27;", "27, 28", "", "27 27", "\xb27")
"""Values of `Content-Length` that are no length."""

ODD_CODINGS: Final = (
    "chunked, chunked",
    "identity",
    "gzip, chunked",
    "chunked;q=1",
    "xchunked",
    "",
)
"""Values of `Transfer-Encoding` that are not supported."""

ODD_CHUNK_SIZES: Final = ("0x1b", "+1b", "-1b", "1_b", " 1b", "", "g")
"""Sizes of chunks that are none."""


def list_odd_answers(fields: bytes, body: bytes, sound: bytes) -> Iterator[tuple[str, bytes]]:
    """Yield answers that are none in the protocol, by what is odd in them.

    Args:
        fields: Sound fields that each answer has, each with its line end.
        body: The body.
        sound: A whole sound answer, which follows some of the odd heads.
    """
    build = _builder(fields, body)
    for status in ODD_STATUSES:
        yield f"status {status}", build(status=f"{status} Odd")
        without_length = b"HTTP/1.1 %s Odd\r\n%s\r\n" % (status.encode(), fields)
        yield f"status {status} ahead of a sound answer", without_length + sound
    for name, odd in ODD_BYTES.items():
        yield f"{name} in a name", build(field=b"X-Re%sgion: b" % odd)
        yield f"{name} before a colon", build(field=b"X-Region%s: b" % odd)
    yield "a blank ahead of a name", build(field=b" X-Region: b")
    yield "an empty name", build(field=b": b")
    yield "no colon", build(field=b"X-Region")
    for name in ODD_VALUE_BYTES:
        yield f"{name} in a value", build(field=b"X-Region: a%sb" % ODD_BYTES[name])
    odd_interim = b"HTTP/1.1 102 Processing\r\nX Region: b\r\n\r\n"
    yield "a blank in a name of an interim head", odd_interim + sound
    length = b"Content-Length : %d\r\n" % len(body)
    yield "a blank before the length's colon", build(framing=length)
    for value in ODD_LENGTHS:
        length = b"Content-Length: %s\r\n" % value.encode("latin-1")
        yield f"the length {value!r}", build(framing=length)
    chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    odd_coding = b"Transfer-Encoding : chunked\r\n"
    yield "a blank before the coding's colon", build(framing=odd_coding, content=chunks)
    for value in ODD_CODINGS:
        coding = b"Transfer-Encoding: %s\r\n" % value.encode()
        yield f"the coding {value!r}", build(framing=coding, content=chunks)
    coding = b"Transfer-Encoding: chunked\r\n"
    both = coding + b"Content-Length: %d\r\n" % len(body)
    yield "a length and a coding", build(framing=both, content=chunks)
    for value in ODD_CHUNK_SIZES:
        odd_chunks = b"%s\r\n%s\r\n0\r\n\r\n" % (value.encode(), body)
        yield f"the chunk size {value!r}", build(framing=coding, content=odd_chunks)
    for name in ("a blank", "NUL"):
        trailer = b"X-Re%sgion: b\r\n" % ODD_BYTES[name]
        content = chunks.removesuffix(b"\r\n") + trailer + b"\r\n"
        yield f"{name} in a trailer's name", build(framing=coding, content=content)
    for line in ("HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/2.0 200 OK", "HTTP/1.1 0200 OK"):
        yield f"the line {line!r}", build(line=line.encode())
    for line in (
        "HTTP/1.1 20 OK",
        "HTTP/1.1 +20 OK",
        "HTTP/1.1 2\xb20 OK",
        "HTTX/1.1 200 OK",
        "200 OK",
    ):
        yield f"the line {line!r}", build(line=line.encode("latin-1"))


def _builder(fields: bytes, body: bytes) -> Callable[..., bytes]:
    """Return a function that builds an answer, sound in all but its arguments."""

    def build(
        status: str = "200 OK",
        line: bytes = b"",
        field: bytes = b"",
        framing: bytes = b"Content-Length: %d\r\n" % len(body),
        content: bytes = body,
    ) -> bytes:
        start = line or b"HTTP/1.1 " + status.encode()
        odd_field = field + b"\r\n" if field else b""
        return start + b"\r\n" + fields + odd_field + framing + b"\r\n" + content

    return build
