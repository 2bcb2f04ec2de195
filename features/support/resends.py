"""Re-sends of keyed reservations through several entry hosts while faults run, and their checks.

Run whole by `python -m features.support.resends --keys 5000 --sends 20000 --seed N`.
"""

from __future__ import annotations

import argparse
import json
import random
import shutil
import sys
import threading
import time
from collections import Counter, defaultdict
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

from features.support.layout import ADMIN_PORT, PLATFORM_NUMBER, Layout, headers_of
from features.support.site import Site, http

if TYPE_CHECKING:
    from collections.abc import Callable

ENTRIES: Final = 6
SERVICES: Final = 3
WORKERS: Final = 24
CALLER_TIMEOUT_S: Final = 3.0
REQUEST_TIMEOUT_MS: Final = 2_000
RESEND_SPREAD: Final = 0.05
"""Mean lateness of a re-send, as a share of the whole."""

READY_TIMEOUT_S: Final = 30.0
STORE_LATENCY_MS: Final = 2.0

MIN_FAULTS: Final = 8
"""Faults of the seed that are brought about, however fast the machine gets through the sends."""


@dataclass(slots=True)
class Send:
    """One call and what its caller got."""

    key: str
    request_id: str
    start_ms: float
    end_ms: float = 0.0
    status: int = 0
    """HTTP status; 0 when the caller gave up or lost the connection."""

    answer: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class Verdict:
    """What the journals say against the answers."""

    sends: int
    keys: int
    keys_run: int
    keys_run_twice: list[str]
    false_not_run: list[str]
    other_outcomes: list[str]
    """Keys whose callers got different outcomes, or one that no journal has."""

    answers: dict[str, int]
    """How often each answer was given, by name; `no_answer` for none."""

    faults: dict[str, int]
    """How often each fault was brought about."""

    seconds: float

    @property
    def good(self) -> bool:
        """Whether nothing speaks against the answers."""
        return not (self.keys_run_twice or self.false_not_run or self.other_outcomes)


def start_site(site: Site) -> Layout:
    """Start the platform, three replicas of the service and six entry hosts, without engines."""
    layout = Layout(site, engines=[], services=SERVICES, entries=ENTRIES)
    layout.key_value = {"latency_ms": STORE_LATENCY_MS}
    layout.start()
    return layout


def run_resends(layout: Layout, keys: int, sends: int) -> Verdict:
    """Send keys again and again while faults run, then compare answers and journals.

    Args:
        layout: The running site.
        keys: Different keys.
        sends: Calls over all of them.
    """
    rng = layout.site.rng
    order = _order_of(keys, sends, rng)
    results: list[Send] = []
    faults: Counter[str] = Counter()
    stop = threading.Event()
    breaker = threading.Thread(target=_break_things, args=(layout, faults, stop))
    begun = time.monotonic()
    breaker.start()
    with ThreadPoolExecutor(WORKERS) as pool:
        numbers = [rng.randrange(ENTRIES) for _ in order]
        names = [f"send-{number}" for number in range(sends)]
        calls = zip(names, order, numbers, strict=True)
        results.extend(pool.map(lambda call: send_reservation(layout, *call), calls))
        # A fast machine is done before the seed's faults are: keys are sent again meanwhile.
        while sum(faults.values()) < MIN_FAULTS:
            names = [f"more-{len(results)}-{number}" for number in range(WORKERS)]
            again = [f"key-{rng.randrange(keys)}" for _ in names]
            more = zip(names, again, [rng.randrange(ENTRIES) for _ in names], strict=True)
            results.extend(pool.map(lambda call: send_reservation(layout, *call), more))
    stop.set()
    breaker.join()
    # The last word: everything is mended, and each key is sent once more.
    for number in range(ENTRIES):
        layout.site.wait_ready(layout.entry_url(number, "/readyz"), READY_TIMEOUT_S)
    last = [(f"last-{number}", f"key-{number}", number % ENTRIES) for number in range(keys)]
    with ThreadPoolExecutor(WORKERS) as pool:
        results.extend(pool.map(lambda call: send_reservation(layout, *call), last))
    return judge(layout, results, faults, time.monotonic() - begun)


def _order_of(keys: int, sends: int, rng: random.Random) -> list[str]:
    """Return the keys in the order of their sends: new ones come all the time, then their re-sends.

    Sent all at once, every key would have run before the first fault, and only been replayed then.
    """
    places = []
    for number in range(sends):
        key = number % keys
        late = rng.expovariate(1.0 / RESEND_SPREAD) if number >= keys else 0.0
        places.append((key / keys + late, f"key-{key}"))
    return [key for _, key in sorted(places)]


def send_reservation(layout: Layout, request_id: str, key: str, entry: int) -> Send:
    """Make one call under a key through an entry host, and note its answer.

    Args:
        layout: The running site.
        request_id: Names the call in the journals.
        key: Idempotency-Key.
        entry: Number of the entry host.
    """
    sent = Send(key, request_id, time.monotonic() * 1000.0)
    headers = headers_of(
        "lab",
        **{
            "Idempotency-Key": key,
            "X-Request-Id": sent.request_id,
            "X-Request-Timeout-Ms": str(REQUEST_TIMEOUT_MS),
        },
    )
    url = layout.entry_url(entry, "/services/rigs/reservations")
    try:
        reply = http(url, {"rig": key}, headers=headers, timeout_s=CALLER_TIMEOUT_S)
        sent.status = reply.status
        sent.answer = reply.json()
    except (OSError, ValueError):
        sent.status = 0
    except Exception as error:  # http.client's own errors on a connection cut inside an answer
        sent.answer = {"name": type(error).__name__}
        sent.status = 0
    sent.end_ms = time.monotonic() * 1000.0
    return sent


def _break_things(layout: Layout, faults: Counter[str], stop: threading.Event) -> None:
    """Bring about one fault after the other, drawn with the site's seed, until told to stop."""
    rng = random.Random(layout.site.seed)
    acts: list[Callable[[Layout, random.Random], None]] = [
        _kill_entry,
        _freeze_entry,
        _lose_store_replies,
        _stop_store,
        _lose_service_replies,
        _silence_service,
    ]
    while not stop.wait(rng.uniform(0.05, 0.4)):
        act = rng.choice(acts)
        faults[act.__name__.removeprefix("_")] += 1
        act(layout, rng)


def _kill_entry(layout: Layout, rng: random.Random) -> None:
    """Kill an entry host wherever it stands, and start it anew."""
    number = rng.randrange(ENTRIES)
    layout.site.programs[f"entry-{number}"].kill()
    layout.start_entry(number)
    layout.site.wait_ready(layout.entry_url(number, "/readyz"), READY_TIMEOUT_S)


def _freeze_entry(layout: Layout, rng: random.Random) -> None:
    """Freeze an entry host, at times past every time-out, and wake it."""
    program = layout.site.programs[f"entry-{rng.randrange(ENTRIES)}"]
    program.freeze()
    time.sleep(rng.choice([0.2, 1.0, 4.0]))
    program.wake()


def _lose_store_replies(layout: Layout, rng: random.Random) -> None:
    """Let a third of the store's writes lose their reply for a while."""
    set_store_faults(layout, {"lose_reply_ratio": 0.3, "seed": rng.randrange(1000)})
    time.sleep(rng.uniform(0.3, 1.0))
    set_store_faults(layout, {})


def _stop_store(layout: Layout, rng: random.Random) -> None:
    """Take the store away for a while."""
    set_store_faults(layout, {"down": True, "down_mode": rng.choice(["reset", "silent"])})
    time.sleep(rng.uniform(0.2, 1.5))
    set_store_faults(layout, {})


def _lose_service_replies(layout: Layout, rng: random.Random) -> None:
    """Let a replica of the service close some connections after the effect."""
    set_service_fault(layout, rng.randrange(SERVICES), "reply_lost", 5)


def _silence_service(layout: Layout, rng: random.Random) -> None:
    """Let a replica of the service go silent for some calls."""
    set_service_fault(layout, rng.randrange(SERVICES), "silent", 3)


def set_store_faults(layout: Layout, faults: dict[str, Any]) -> None:
    """Set the store's faults."""
    address = f"{layout.site.ip(PLATFORM_NUMBER)}:{ADMIN_PORT}"
    assert http(f"http://{address}/admin/faults", faults).status == 200


def set_service_fault(layout: Layout, number: int, fault: str, calls: int) -> None:
    """Set a replica's fault."""
    url = f"http://{layout.service_address(number)}/admin/faults"
    assert http(url, {"fault": fault, "calls": calls}).status == 200


def judge(
    layout: Layout,
    sends: list[Send],
    faults: Counter[str] | None = None,
    seconds: float = 0.0,
) -> Verdict:
    """Compare what callers were told with what the journals hold.

    Args:
        layout: The site, its journals still there.
        sends: Every call that was made.
        faults: How often each fault was brought about.
        seconds: How long it took.
    """
    runs: defaultdict[str, list[dict[str, Any]]] = defaultdict(list)
    for run in layout.service_runs():
        runs[run["idempotency_key"]].append(run)
    by_key: defaultdict[str, list[Send]] = defaultdict(list)
    for sent in sends:
        by_key[sent.key].append(sent)
    false_not_run = []
    other_outcomes = []
    for key, attempts in by_key.items():
        false_not_run.extend(
            sent.request_id for sent in attempts if _is_false(sent, attempts, runs[key])
        )
        outcomes = {json.dumps(sent.answer) for sent in attempts if sent.status == 200}
        known = {(run["replica"], run["run"]) for run in runs[key]}
        told = {(s.answer["replica"], s.answer["run"]) for s in attempts if s.status == 200}
        if len(outcomes) > 1 or not told <= known:
            other_outcomes.append(key)
    return Verdict(
        sends=len(sends),
        keys=len(by_key),
        keys_run=sum(1 for key in by_key if runs[key]),
        keys_run_twice=[key for key in by_key if len(runs[key]) > 1],
        false_not_run=false_not_run,
        other_outcomes=other_outcomes,
        answers=dict(Counter(_name_of(sent) for sent in sends).most_common()),
        faults=dict(faults or {}),
        seconds=seconds,
    )


def _is_false(sent: Send, attempts: list[Send], runs: list[dict[str, Any]]) -> bool:
    """Whether an answer said "not run" of what ran.

    Of the key it is false when it ran before the answer, or after it through a call that its
    caller had given up by then. A call that was still awaited is the caller's own other attempt.
    """
    this_not_run = sent.answer.get("this_attempt") == "not_run"
    key_not_run = sent.answer.get("ran") == "not_run"
    if not (this_not_run or key_not_run):
        return False
    if any(run["request_id"] == sent.request_id for run in runs):
        return True
    if not key_not_run:
        return False
    given_up = {a.request_id for a in attempts if a.status == 0 and a.end_ms <= sent.end_ms}
    awaited = {a.request_id for a in attempts if a.start_ms < sent.end_ms <= a.end_ms}
    for run in runs:
        if run["request_id"] in given_up:
            return True
        if run["at_ms"] < sent.start_ms or (
            run["at_ms"] < sent.end_ms and run["request_id"] not in awaited
        ):
            return True
    return False


def _name_of(sent: Send) -> str:
    """Return the answer's name for counting."""
    if sent.status == 0:
        return "no_answer"
    if sent.status == 200:
        return "outcome"
    return f"{sent.answer.get('name')}/{sent.answer.get('ran')}"


def main() -> int:
    """Run the whole thing from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keys", type=int, default=5000)
    parser.add_argument("--sends", type=int, default=20_000)
    parser.add_argument("--seed", type=int, default=20261203)
    arguments = parser.parse_args()
    site = Site(arguments.seed)
    try:
        verdict = run_resends(start_site(site), arguments.keys, arguments.sends)
    except BaseException:
        print(site.logs())
        raise
    finally:
        site.stop()
        shutil.rmtree(site.folder, ignore_errors=True)
    print(f"seed {arguments.seed}")
    print(verdict)
    return 0 if verdict.good else 1


if __name__ == "__main__":
    sys.exit(main())
