"""Steps for crowds of clients that hold memory or connections, on raw connections."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from itertools import chain
from typing import TYPE_CHECKING, Any, Final

import psutil
from behave import given, then, when
from features.support.gateway_site import HOST_NAME, KEY, create_gateway_site
from features.support.layout import ENTRY_NUMBER, ENTRY_PORT
from features.support.site import http, wait_until

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

MB: Final = 1024 * 1024
KB: Final = 1024
SHORT_BYTES: Final = 100
"""How many bytes a body that stops lacks."""

CROWD_S: Final = 4.0
"""How long a crowd has for what it sends; it stays connected until the ordinary request is over."""

ANSWER_S: Final = 30.0
"""Longest wait for the ordinary request, sent again after a refusal, and for the answer to a body."""

SAMPLE_S: Final = 0.01
PORTS: Final = {"client": 7000, "ready": 7001, "peer": 7002}
UNREAD_FORM: Final = "answers of 4 MB that nobody reads"
UNREAD_REQUESTS: Final = 3
UNREAD_BUFFER_BYTES: Final = 64 * KB
"""Receive buffer of a client that doesn't read, so that its answers stay with the gateway."""


def header(path: str, *fields: str) -> bytes:
    """Return a request header."""
    lines = (
        f"POST {path} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"Authorization: Bearer {KEY}",
        "Pimentodale-Attempt-Id: crowd",
        "Pimentodale-Deadline-Ms: 10000",
        *fields,
    )
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def chunked(path: str, chunk_bytes: int, body_bytes: int, *, is_whole: bool) -> Iterator[bytes]:
    """Yield a chunked request in pieces of at least 64 KB; without its end unless it is whole."""
    yield header(path, "Transfer-Encoding: chunked")
    chunk = b"%x\r\n" % chunk_bytes + b"c" * chunk_bytes + b"\r\n"
    at_once = max(1, 64 * KB // len(chunk))
    count, rest_bytes = divmod(body_bytes, chunk_bytes)
    while count:
        now = min(count, at_once)
        yield chunk * now
        count -= now
    if is_whole:
        last = b"%x\r\n" % rest_bytes + b"c" * rest_bytes + b"\r\n" if rest_bytes else b""
        yield last + b"0\r\n\r\n"
    elif rest_bytes:
        yield b"%x\r\n" % (rest_bytes + SHORT_BYTES) + b"c" * rest_bytes


def announced(path: str, body_bytes: int, sent_bytes: int) -> Iterator[bytes]:
    """Yield a request with a length, of whose body some bytes are sent."""
    yield header(path, f"Content-Length: {body_bytes}")
    while sent_bytes:
        piece = b"b" * min(64 * KB, sent_bytes)
        yield piece
        sent_bytes -= len(piece)


def pieces(form: str, path: str) -> Iterator[bytes]:
    """Return what a client sends."""
    words = form.split()
    if form == "nothing":
        return iter(())
    if form == "a header that stops just short of 16 KB":
        return iter([header(path, "X-Fill: " + "f" * (16 * KB - 400))[:-4]])
    if form == "a peer message that stops just short of 2 MB":
        message = (2 * MB).to_bytes(4) + b"p" * (2 * MB - SHORT_BYTES)
        return iter([message])
    if form == UNREAD_FORM:
        requests = (announced(path, 4 * MB, 4 * MB) for _ in range(UNREAD_REQUESTS))
        return chain.from_iterable(requests)
    if form == "the first byte of a body":
        return announced(path, 4 * KB, 1)
    if form == "a false length":
        return iter([header(path, "Content-Length: 12x")])
    if form == "a false chunk size":
        return iter([header(path, "Transfer-Encoding: chunked") + b"zz\r\nbody\r\n"])
    units = {"MB": MB, "KB": KB, "bytes": 1}
    sizes = [
        int(word) * units[words[index + 1]] for index, word in enumerate(words) if word.isdecimal()
    ]
    if form.startswith("an announced body that stops"):
        return announced(path, sizes[0], sizes[0] - SHORT_BYTES)
    if "announced" in form:
        return announced(path, sizes[0], sizes[0])
    if form.startswith("a whole body"):
        return chunked(path, sizes[1], sizes[0], is_whole=True)
    assert form.startswith("chunks of"), form
    lacks_bytes = SHORT_BYTES if "short" in form else 0
    return chunked(path, sizes[0], sizes[1] - lacks_bytes, is_whole=False)


@given("a gateway with memory_mb {memory_mb:d} and max_fds {max_fds:d}")
def start(context: Any, memory_mb: int, max_fds: int) -> None:
    site = context.gateways = create_gateway_site(context.site)
    site.start_platform()
    site.configure()
    site.start_gateway("g1", extra={"memory_mb": memory_mb, "max_fds": max_fds})
    wait_until(lambda: site.serves("g1"), "g1 serves streams", 20.0)
    assert site.request("g1", "/read/x").status == 200


@when("{count:d} clients send it {form} and stay connected")
def send_crowd(context: Any, count: int, form: str) -> None:
    run_crowd(context, "client", count, form)


@when("{count:d} clients send its {name} address {form} and stay connected")
def send_elsewhere(context: Any, count: int, name: str, form: str) -> None:
    run_crowd(context, name, count, form)


def run_crowd(context: Any, name: str, count: int, form: str) -> None:
    """Send a crowd to an address of the gateway, and one ordinary request beside it."""
    site = context.gateways

    def ask() -> bool:
        with contextlib.suppress(OSError):
            return bool(site.request("g1", "/read/x").status == 200)
        return False

    address = (site.ip("g1"), PORTS[name])
    process = psutil.Process(context.site.programs["g1"].process.pid)
    run = send_all(context, process, address, [form] * count, "/read/x", ask)
    context.is_answered = asyncio.run(run)


@when("{count:d} clients send entry host {number:d} {form} and stay connected")
def send_to_entry(context: Any, count: int, number: int, form: str) -> None:
    address = (context.site.ip(ENTRY_NUMBER + number), ENTRY_PORT)
    process = psutil.Process(context.site.programs[f"entry-{number}"].process.pid)
    url = context.layout.entry_url(number, "/healthz")

    def ask() -> bool:
        with contextlib.suppress(OSError):
            return http(url).status == 200
        return False

    run = send_all(context, process, address, [form] * count, "/v1/completions", ask)
    assert asyncio.run(run)


async def send_all(
    context: Any,
    process: psutil.Process,
    address: tuple[str, int],
    forms: list[str],
    path: str,
    ask: Callable[[], bool],
) -> bool:
    """Send a crowd, then the ordinary request until it is served; note the process's peaks."""
    context.process = process
    context.most_bytes = context.most_fds = 0
    writers: list[asyncio.StreamWriter] = []

    async def send(form: str) -> None:
        with contextlib.suppress(OSError):
            connection = socket.socket()
            connection.setblocking(False)
            if form == UNREAD_FORM:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BUFFER_BYTES)
            await asyncio.get_running_loop().sock_connect(connection, address)
            reader, writer = await asyncio.open_connection(sock=connection)
            writers.append(writer)
            if form == UNREAD_FORM:
                # Otherwise this process would read ahead itself.
                writer.transport.pause_reading()  # type: ignore[attr-defined]
            for piece in pieces(form, path):
                writer.write(piece)
                await writer.drain()
            if form != UNREAD_FORM:
                await reader.read()

    async def sample() -> None:
        while True:
            with contextlib.suppress(psutil.Error):
                context.most_bytes = max(context.most_bytes, process.memory_info().rss)
                context.most_fds = max(context.most_fds, process.num_fds())
            await asyncio.sleep(SAMPLE_S)

    sampling = asyncio.create_task(sample())
    crowd = [asyncio.create_task(send(form)) for form in forms]
    await asyncio.wait(crowd, timeout=CROWD_S)
    end_s = time.monotonic() + ANSWER_S
    is_answered = False
    while not is_answered and time.monotonic() < end_s and process.is_running():
        is_answered = await asyncio.to_thread(ask)
        await asyncio.sleep(0.1)
    for task in (sampling, *crowd):
        task.cancel()
    for writer in writers:
        writer.transport.abort()
    return is_answered


@then("its memory stayed under {limit_mb:d} MB, and its descriptors within {limit_fds:d}")
def check_peaks(context: Any, limit_mb: int, limit_fds: int) -> None:
    print(f"{context.most_bytes / 1e6:.0f} MB, {context.most_fds} descriptors at most")
    assert context.process.is_running()
    assert context.process.status() != psutil.STATUS_ZOMBIE
    assert context.most_bytes < limit_mb * 1e6, context.most_bytes
    assert context.most_fds <= limit_fds, context.most_fds


@then("it answered one ordinary request while they were connected")
def check_answered(context: Any) -> None:
    assert context.is_answered


@when("these bodies are sent to it one after the other")
def send_each(context: Any) -> None:
    address = (context.gateways.ip("g1"), PORTS["client"])
    context.statuses = []
    for row in context.table:
        body_bytes, chunk_bytes = int(row["body_bytes"]), int(row["chunk_bytes"])
        if chunk_bytes:
            sent = chunked("/read/x", chunk_bytes, body_bytes, is_whole=True)
        else:
            sent = announced("/read/x", body_bytes, body_bytes)
        status, _is_closed = asyncio.run(exchange(address, sent))
        context.statuses.append(status)


@then("each of them is answered 200")
def check_each(context: Any) -> None:
    assert set(context.statuses) == {200}, context.statuses


@when("a client sends it {form}")
def send_one(context: Any, form: str) -> None:
    address = (context.gateways.ip("g1"), PORTS["client"])
    context.answer = asyncio.run(exchange(address, pieces(form, "/read/x"), is_to_close=True))


@then("the client is answered {status:d}, and its connection is closed")
def check_answer(context: Any, status: int) -> None:
    assert context.answer == (status, True), context.answer


async def exchange(
    address: tuple[str, int], sent: Iterator[bytes], *, is_to_close: bool = False
) -> tuple[int, bool]:
    """Send a request while reading; return the status, 0 for none, and whether it was closed."""
    reader, writer = await asyncio.open_connection(*address)

    async def send() -> None:
        with contextlib.suppress(OSError):
            for piece in sent:
                writer.write(piece)
                await writer.drain()

    sending = asyncio.create_task(send())
    line, is_closed = b"", False
    with contextlib.suppress(OSError):
        try:
            line = await asyncio.wait_for(reader.readline(), ANSWER_S)
            if is_to_close:
                await asyncio.wait_for(reader.read(), ANSWER_S)
                is_closed = True
        except ConnectionError:
            is_closed = True
        except TimeoutError:
            pass
    sending.cancel()
    writer.transport.abort()
    return int(line.split(b" ")[1]) if line.startswith(b"HTTP/") else 0, is_closed
