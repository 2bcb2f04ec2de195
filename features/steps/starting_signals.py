"""Steps for signals that reach programs while they start."""

from __future__ import annotations

import contextlib
import signal
import socket
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import psutil
from behave import given, then, when
from features.support.site import wait_until

if TYPE_CHECKING:
    from features.support.site import Program

HANGUP_BIT: Final = 1 << (signal.SIGHUP - 1)
BOOT_CPU_S: Final = 0.4
"""Processor time after which the interpreter runs a program's code in any case; its imports take more."""

PARALLEL: Final = 5
"""Programs that start at once."""

STOP_S: Final = 15.0


def settings_of(context: Any, program: str, number: int) -> dict[str, Any]:
    """Return the settings of a host whose store and other hosts answer nothing."""
    ip = context.site.ip(20 + number)
    absent = f"{context.site.ip(2)}:9000"
    common = {
        "host": f"h{number}",
        "failure_domain": "a",
        "region": "r",
        "peer_listen": f"{ip}:7002",
    }
    if program == "pimentodale-entry":
        return common | {"listen": f"{ip}:7000", "key_value": [absent], "host_list": absent}
    own = {
        "client_listen": f"{ip}:7000",
        "ready_listen": f"{ip}:7001",
        "seeds": [],
        "store": absent,
    }
    return common | own


def start(context: Any, number: int) -> Program:
    name = f"{context.program}-{number}"
    path = context.site.write(f"{name}.yaml", settings_of(context, context.program, number))
    program: Program = context.site.start(name, context.program, str(path))
    return program


def has_begun(program: Program) -> bool:
    """Whether the program's code runs: it handles SIGHUP, or has had the time to see to that."""
    try:
        lines = Path(f"/proc/{program.process.pid}/status").read_text().splitlines()
    except OSError:
        return True
    masks = [int(line.split()[1], 16) for line in lines if line.startswith(("SigIgn", "SigCgt"))]
    if program.process.poll() is not None or any(mask & HANGUP_BIT for mask in masks):
        return True
    with contextlib.suppress(psutil.Error):
        used = psutil.Process(program.process.pid).cpu_times()
        return used.user + used.system > BOOT_CPU_S
    return True


def listens(context: Any, number: int) -> bool:
    with socket.socket() as probe:
        return probe.connect_ex((context.site.ip(20 + number), 7000)) == 0


def measure_start_s(context: Any) -> float:
    """Return how long a program's code runs until it listens, when as many start at once."""
    started = [start(context, 100 + number) for number in range(PARALLEL)]
    for program in started:
        wait_until(lambda program=program: has_begun(program), "its code runs", 20.0)
    began_s = time.monotonic()
    for number in range(PARALLEL):
        wait_until(lambda number=number: listens(context, 100 + number), "it listens", 20.0)
    took_s = time.monotonic() - began_s
    for program in started:
        program.kill()
    return took_s


@given("{count:d} starts of {program}")
def choose_program(context: Any, count: int, program: str) -> None:
    context.program, context.count = program, count
    context.start_s = measure_start_s(context)
    print(f"{context.start_s:.2f} s from the start of its code until it listens")


@when("each gets {name} at another moment between the start of its code and its readiness")
def signal_once(context: Any, name: str) -> None:
    context.started = []
    for first in range(0, context.count, PARALLEL):
        batch = [start(context, first + number) for number in range(PARALLEL)]
        due_s: list[tuple[float, Program]] = []
        for number, program in enumerate(batch):
            wait_until(lambda program=program: has_begun(program), "its code runs", 20.0)
            # Every moment lies in another part of the start, whatever the order of the starts.
            part = ((first + number) * 7 % context.count) / context.count
            due_s.append((time.monotonic() + part * context.start_s, program))
        for at_s, program in sorted(due_s, key=lambda due: due[0]):
            time.sleep(max(0.0, at_s - time.monotonic()))
            program.process.send_signal(getattr(signal, name))
        context.started += list(zip(range(first, first + PARALLEL), batch, strict=True))
        if name == "SIGHUP":
            check_running(context)


@when("each gets SIGHUP every 20 ms until its readiness")
def signal_often(context: Any) -> None:
    programs = [start(context, number) for number in range(context.count)]
    context.started = list(enumerate(programs))
    for program in programs:
        wait_until(lambda program=program: has_begun(program), "its code runs", 20.0)
    end_s = time.monotonic() + 20.0
    while not all(listens(context, number) for number in range(context.count)):
        assert time.monotonic() < end_s, "not all of them listen"
        for program in programs:
            assert program.process.poll() is None, program.process.returncode
            program.process.send_signal(signal.SIGHUP)
        time.sleep(0.02)
    check_running(context)


def check_running(context: Any) -> None:
    """Check that the programs started last listen, and end with 0."""
    running = [entry for entry in context.started if entry[1].process.poll() is None]
    assert running, "none runs"
    for number, program in running:
        wait_until(
            lambda number=number, program=program: (
                program.process.poll() is not None or listens(context, number)
            ),
            "it listens",
            20.0,
        )
        assert program.process.poll() is None, program.process.returncode
    for _, program in running:
        program.process.terminate()
    for _, program in running:
        program.process.wait(STOP_S)


@then("all of them run, and end with 0 at SIGTERM")
@then("all of them have ended with 0")
def check_ended(context: Any) -> None:
    codes = [program.process.wait(STOP_S) for _, program in context.started]
    print(codes)
    assert len(codes) == context.count
    assert set(codes) == {0}, codes
