"""Steps for the configuration folder, its followers and the operators' commands."""

from __future__ import annotations

import hashlib
import random
import re
from typing import TYPE_CHECKING, Any

import msgspec
import yaml
from behave import given, step, then, when
from features.steps.key_value import run, set_faults, start_key_value
from features.support.follower_cluster import FollowerCluster
from features.support.site import http, wait_until
from hypothesis import given as given_drawn
from hypothesis import settings as drawn_settings
from hypothesis import strategies as st

from pimentodale.clients.key_value import Delete, Put, prefix_end
from pimentodale.configuration.acceptance import accept_folder, merge_accepted
from pimentodale.configuration.files import create_file_check
from pimentodale.configuration.folder_store import ACCEPTED_KEY, FOLDER_PREFIX, read_view
from pimentodale.configuration.snapshots import AcceptedFile, Snapshot, encode_snapshot

if TYPE_CHECKING:
    from pathlib import Path


def token(name: str) -> str:
    return hashlib.sha256(name.encode()).hexdigest()


def workspaces(*names: str) -> str:
    entries = [{"name": name, "token_sha256s": [token(name)]} for name in names]
    return yaml.safe_dump({"workspaces": entries})


def models(*names: str) -> str:
    return yaml.safe_dump({"models": [{"name": name, "layers": 32} for name in names]})


STARTING_FOLDER = {
    "10-models.yaml": models("tulip"),
    "20-workspaces.yaml": workspaces("hall"),
    "30-placements.yaml": yaml.safe_dump(
        {"placements": [{"model": "tulip", "failure_domain": "delft-a"}]}
    ),
}


def ctl(context: Any, *arguments: str) -> tuple[int, str]:
    """Run pimentodale-ctl; return its exit code and output."""
    context.ctl_runs = getattr(context, "ctl_runs", 0) + 1
    program = context.site.start(f"ctl-{context.ctl_runs}", "pimentodale-ctl", *arguments)
    code = program.process.wait(60)
    return code, program.log.read_text()


def key_value_option(context: Any) -> str:
    return f"--key-value={context.store_address}"


def operator_folder(context: Any, name: str) -> Path:
    folder: Path = context.site.folder / name
    folder.mkdir(exist_ok=True)
    return folder


def pull(context: Any, name: str) -> Path:
    folder = operator_folder(context, name)
    code, output = ctl(context, "config", "pull", key_value_option(context), str(folder))
    assert code == 0, output
    return folder


def write_directly(context: Any, texts: dict[str, str | None]) -> None:
    """Write files directly to the service, bypassing the checks of the operators' commands."""
    writes = [
        Delete(FOLDER_PREFIX + name) if text is None else Put(FOLDER_PREFIX + name, text.encode())
        for name, text in texts.items()
    ]
    reply = run(context.store.txn([], writes))
    assert reply.is_ok(), reply


def stored_view(context: Any) -> Any:
    view = run(read_view(context.store))
    return view.ok if view.is_ok() else None


def await_all(context: Any, condition: Any, what: str, timeout_s: float) -> None:
    """Wait until the condition holds for every follower."""

    def met() -> bool:
        return all(condition(host.follower) for host in context.fleet.hosts.values())

    wait_until(met, f"all followers: {what}", timeout_s)
    assert context.fleet.failed() == [], context.fleet.failed()


@given("a fleet of {hosts:d} followers of which {watchers:d} watch")
def given_fleet(context: Any, hosts: int, watchers: int) -> None:
    site = context.site
    context.link_admin = f"http://{site.ip(12)}:2380/admin/faults"
    relay = {
        "kind": "relay",
        "listen": f"{site.ip(12)}:2379",
        "target": f"{site.ip(10)}:2379",
        "admin_listen": f"{site.ip(12)}:2380",
    }
    start_key_value(context, relay)
    context.fleet_address = relay["listen"]
    start_fleet(context, hosts, watchers)


@step("an operator pushes the starting folder")
def push_starting(context: Any) -> None:
    folder = operator_folder(context, "first")
    for name, text in STARTING_FOLDER.items():
        (folder / name).write_text(text)
    code, output = ctl(context, "config", "push", key_value_option(context), str(folder))
    assert code == 0, output
    context.push_output = output


@step('all followers have the {kind} "{name}" within {span_s:d} s')
def check_all_have(context: Any, kind: str, name: str, span_s: int) -> None:
    await_all(
        context,
        lambda follower: name in getattr(follower.current(), f"{kind}s"),
        f"{kind} {name}",
        span_s,
    )


@then('no follower has the model "{name}" within {span_s:d} s')
def check_none_has(context: Any, name: str, span_s: int) -> None:
    await_all(context, lambda follower: name not in follower.current().models, f"no {name}", span_s)


@then("the stand-in shows {count:d} open folder watches")
def check_open_watches(context: Any, count: int) -> None:
    assert http(f"{context.admin}/calls").json()["watches_open"] == count


@then("the folder listing says that every file is in force")
def check_listing(context: Any) -> None:
    code, output = ctl(context, "config", "list", key_value_option(context))
    assert code == 0, output
    lines = [line.split("\t") for line in output.splitlines()[1:]]
    assert [(line[0], line[2]) for line in lines] == [
        (name, "in force") for name in STARTING_FOLDER
    ], output


@when('the file "{bad}" becomes invalid while "{good}" gets workspace "{name}"')
def make_invalid(context: Any, bad: str, good: str, name: str) -> None:
    text = "models: [{name: tulip, layers: many}]"
    path = operator_folder(context, "first") / bad
    path.write_text(text)
    code, output = ctl(context, "config", "put", key_value_option(context), str(path))
    assert code == 3, "the operator's command took a bad file"
    assert "models[0].layers" in output, output
    write_directly(context, {bad: text, good: workspaces("hall", name)})


@then('each follower\'s status names "{name}" and "{text}"')
def check_named(context: Any, name: str, text: str) -> None:
    def names(follower: Any) -> bool:
        problems = follower.status().problems
        return any(problem.name == name and text in str(problem) for problem in problems)

    await_all(context, names, f"status names {name} and {text}", 5)


@then('the folder listing names "{name}" and "{text}"')
def check_listing_names(context: Any, name: str, text: str) -> None:
    code, output = ctl(context, "config", "list", key_value_option(context))
    assert code == 0, output
    line = next(line for line in output.splitlines() if line.startswith(name))
    assert text in line, output


@when('the file "{name}" is fixed with model "{model}"')
def fix_file(context: Any, name: str, model: str) -> None:
    write_directly(context, {name: models("tulip", model)})


@then("no follower's status names a problem")
def check_no_problem(context: Any) -> None:
    await_all(context, lambda follower: follower.status().problems == [], "no problem", 5)


@when('an operator removes "{name}" while a placement needs its model')
def remove_needed(context: Any, name: str) -> None:
    revision = stored_view(context).folder[name].mod_revision
    arguments = ["config", "remove", key_value_option(context), f"--revision={revision}", name]
    context.refused = ctl(context, *arguments)


@then('the operator is refused with code {code:d} and reads "{text}"')
def check_operator_refused(context: Any, code: int, text: str) -> None:
    assert context.refused[0] == code, context.refused
    assert text in context.refused[1], context.refused


@when('the file "{name}" is removed directly in the service')
def remove_directly(context: Any, name: str) -> None:
    write_directly(context, {name: None})


@when('two operators write {rounds:d} times concurrently to the file "{name}"')
def race_on_one(context: Any, rounds: int, name: str) -> None:
    context.rounds = []
    for number in range(rounds):
        folders = [pull(context, operator) for operator in ("first", "second")]
        texts = [workspaces("hall", f"round-{number}-of-{op}") for op in range(2)]
        for folder, text in zip(folders, texts, strict=True):
            (folder / name).write_text(text)
        context.rounds.append((texts, race(context, [["put", str(f / name)] for f in folders])))


def race(context: Any, commands: list[list[str]]) -> list[tuple[int, str]]:
    """Run commands concurrently, started in a seeded random order."""
    order = list(range(len(commands)))
    context.site.rng.shuffle(order)
    programs: dict[int, Any] = {}
    for number in order:
        context.ctl_runs += 1
        name = f"ctl-{context.ctl_runs}"
        arguments = ["config", *commands[number], key_value_option(context)]
        programs[number] = context.site.start(name, "pimentodale-ctl", *arguments)
    codes = {number: program.process.wait(60) for number, program in programs.items()}
    return [(codes[number], programs[number].log.read_text()) for number in range(len(commands))]


@then("each time one write succeeds and the other reports a conflict with its revision")
def check_race(context: Any) -> None:
    for texts, results in context.rounds:
        assert sorted(code for code, _ in results) == [0, 4], results
        loser = next(output for code, output in results if code == 4)
        assert re.search(r"based on revision \d+, but the file is at revision \d+", loser), loser
        context.winner = texts[0 if results[0][0] == 0 else 1]
    file = stored_view(context).folder["20-workspaces.yaml"]
    assert file.text == context.winner
    assert f"is at revision {file.mod_revision}" in loser, (loser, file.mod_revision)


@then("all followers have what the last successful write contains")
def check_winner(context: Any) -> None:
    names = {entry["name"] for entry in yaml.safe_load(context.winner)["workspaces"]}
    await_all(
        context, lambda follower: set(follower.current().workspaces) == names, "the winner's", 5
    )


@when(
    "two operators write {rounds:d} times concurrently to two files by pushing their whole folders"
)
def race_on_two(context: Any, rounds: int) -> None:
    context.rounds = []
    for number in range(rounds):
        folders = [pull(context, operator) for operator in ("first", "second")]
        for op, folder in enumerate(folders):
            (folder / f"4{op}-more.yaml").write_text(workspaces(f"round-{number}-of-{op}"))
        context.rounds.append(race(context, [["push", str(folder)] for folder in folders]))


@then("both succeed each time, and all followers have what both wrote last")
def check_both_win(context: Any) -> None:
    assert all(code == 0 for results in context.rounds for code, _ in results), context.rounds
    last = len(context.rounds) - 1
    names = {"hall", f"round-{last}-of-0", f"round-{last}-of-1"}
    await_all(
        context, lambda follower: set(follower.current().workspaces) == names, "both writes", 5
    )


@when("the next {count:d} writes to the service lose their replies")
def lose_answers(context: Any, count: int) -> None:
    set_faults(context, {"lose_replies": count})


@then("each file of the folder was written once")
def check_written_once(context: Any) -> None:
    reply = run(context.store.read(FOLDER_PREFIX, prefix_end(FOLDER_PREFIX))).ok
    assert [item.key.removeprefix(FOLDER_PREFIX) for item in reply.items] == list(STARTING_FOLDER)
    assert all(item.create_revision == item.mod_revision for item in reply.items), reply.items
    assert http(f"{context.admin}/calls").json()["lost_replies"] >= 1


@when("the configuration service fails as {mode}")
def fail_service(context: Any, mode: str) -> None:
    set_faults(context, {"down": True, "down_mode": mode})


@then("an operator's push is refused with code {code:d}")
def check_push_refused(context: Any, code: int) -> None:
    folder = operator_folder(context, "first")
    result = ctl(context, "config", "push", key_value_option(context), str(folder))
    assert result[0] == code, result


@step('a follower joins the fleet as watcher "{name}"')
def join(context: Any, name: str) -> None:
    context.fleet.add(name, True)


@when("the configuration service recovers")
def recover_service(context: Any) -> None:
    set_faults(context, {})


@step('the file "{file}" gets workspace "{name}" from an operator')
def operator_adds(context: Any, file: str, name: str) -> None:
    folder = pull(context, "first")
    path = folder / file
    old = yaml.safe_load(path.read_text())["workspaces"] if path.exists() else []
    path.write_text(workspaces(*(entry["name"] for entry in old), name))
    code, output = ctl(context, "config", "put", key_value_option(context), str(path))
    assert code == 0, output


@when("the service takes {latency_ms:d} ms per call and loses {share:d} of 100 replies")
def slow_service(context: Any, latency_ms: int, share: int) -> None:
    faults = {"delay_ms": latency_ms, "lose_reply_ratio": share / 100, "seed": context.site.seed}
    set_faults(context, faults)


@when("{count:d} workspaces are added one after the other directly in the service")
def add_workspaces(context: Any, count: int) -> None:
    context.before = max(context.fleet.revisions())
    context.last = f"slow-{count - 1}"
    for number in range(count):
        text = workspaces("hall", f"slow-{number}")
        writes = [Put(FOLDER_PREFIX + "20-workspaces.yaml", text.encode())]
        # A lost reply does no harm here, as the text is the same each time.
        wait_until(lambda writes=writes: run(context.store.txn([], writes)).is_ok(), "written", 20)


@then("all followers have the last of them within {span_s:d} s")
def check_last(context: Any, span_s: int) -> None:
    await_all(
        context, lambda follower: context.last in follower.current().workspaces, "last", span_s
    )


@then("the followers' revisions increased by one for each accepted snapshot")
def check_steps(context: Any) -> None:
    set_faults(context, {})
    item = run(context.store.read(ACCEPTED_KEY)).ok.items[0]
    snapshot = stored_view(context).accepted
    assert snapshot.revision > context.before
    # The version of the key in the service is the number of snapshots written.
    raw = http(f"http://{context.store_address}/v3/kv/range", {"key": b64(ACCEPTED_KEY)}).json()
    assert int(raw["kvs"][0]["version"]) == snapshot.revision, (raw["kvs"][0], item.mod_revision)


def b64(text: str) -> str:
    return msgspec.json.decode(msgspec.json.encode(text.encode()))


@when("the service takes a copy of its state")
def keep_copy(context: Any) -> None:
    assert http(f"{context.admin}/snapshot", {}).status == 200


@step("the service is restored from its copy")
def restore_from_copy(context: Any) -> None:
    context.in_force = max(
        (host.follower.status() for host in context.fleet.hosts.values()),
        key=lambda status: status.revision,
    )
    assert http(f"{context.admin}/restore", {}).status == 200


@then("the service holds again within {span_s:d} s what was in force, in snapshot and folder")
def check_written_back(context: Any, span_s: int) -> None:
    def says_it() -> bool:
        view = stored_view(context)
        accepted = {file.name: file.text for file in view.accepted.files}
        return (
            view.accepted.revision >= context.in_force.revision
            and not view.accepted.folder_pending
            and sorted(accepted) == context.in_force.files
            and view.texts() == accepted
        )

    wait_until(says_it, "the service says what was in force", span_s)


def start_fleet(context: Any, hosts: int, watchers: int) -> None:
    context.fleet = FollowerCluster(context.fleet_address, context.site.seed)
    context.add_cleanup(context.fleet.stop)
    for number in range(hosts):
        context.fleet.add(f"h{number}", number < watchers)


@given(
    "a service in which the write-back of {count:d} files stopped after the mark was set, with a newer edit"
)
def given_half_way(context: Any, count: int) -> None:
    start_key_value(context)
    context.fleet_address = context.store_address
    names = [f"part-{number}" for number in range(count)]
    files = [AcceptedFile(f"{name}.yaml", workspaces(name)) for name in sorted(names)]
    old = {"part-1.yaml": workspaces("old"), "gone.yaml": workspaces("gone")}
    write_directly(context, old)
    marked = encode_snapshot(Snapshot(revision=9, files=files, folder_pending=True))
    assert run(context.store.txn([], [Put(ACCEPTED_KEY, marked)])).ok.succeeded
    context.half_way = {file.name: file.text for file in files}
    context.half_way["part-2.yaml"] = workspaces("part-2", "newer")
    write_directly(context, {"part-2.yaml": context.half_way["part-2.yaml"]})


@when("a fleet of {hosts:d} followers of which {watchers:d} watch starts on that service")
def start_over_it(context: Any, hosts: int, watchers: int) -> None:
    start_fleet(context, hosts, watchers)


@then("the folder holds all {count:d} files and the newer edit within {span_s:d} s")
def check_finished(context: Any, count: int, span_s: int) -> None:
    assert len(context.half_way) == count

    def finished() -> bool:
        view = stored_view(context)
        return view.texts() == context.half_way and not view.accepted.folder_pending

    wait_until(finished, "the write-back is finished", span_s)


@when("the connections of all followers go silent")
def silence_followers(context: Any) -> None:
    assert http(context.link_admin, {"silent": True}).status == 200


@when('the file "{file}" gets workspace "{name}" directly in the service')
def add_directly(context: Any, file: str, name: str) -> None:
    write_directly(context, {file: workspaces("hall", name)})


@step('the service is restored from its copy while only a new follower "{name}" can reach it')
def restore_from_copy_alone(context: Any, name: str) -> None:
    assert http(context.link_admin, {"cut": True}).status == 200
    restore_from_copy(context)
    context.fleet.partitioned = {name}
    context.fleet.store_address = context.store_address
    context.fleet.add(name, True)


@step("the old followers can reach the service again")
def reach_again(context: Any) -> None:
    late = context.fleet.hosts["late"].follower.current()
    old = context.fleet.hosts["h0"].follower.current()
    # Precondition of the scenario: the same revision with different contents.
    assert late.revision == old.revision, (late.revision, old.revision)
    assert late != old
    context.settled = old.revision
    context.fleet.partitioned = set()
    assert http(context.link_admin, {}).status == 200


@then("all followers and the service agree within {span_s:d} s on a higher revision")
def check_agree(context: Any, span_s: int) -> None:
    def agree() -> bool:
        wholes = [host.follower.current() for host in context.fleet.hosts.values()]
        stored = stored_view(context).accepted
        same = all(whole == wholes[0] for whole in wholes)
        return same and stored.revision == wholes[0].revision > context.settled

    wait_until(agree, "followers and service agree", span_s)
    assert context.fleet.failed() == [], context.fleet.failed()


TEXTS = st.sampled_from(
    [
        models("tulip"),
        models("rose"),
        models("tulip", "rose"),
        workspaces("hall"),
        workspaces("hall", "yard"),
        yaml.safe_dump({"workspaces": [{"name": "shed", "token_sha256s": [token("hall")]}]}),
        yaml.safe_dump({"placements": [{"model": "tulip", "failure_domain": "delft-a"}]}),
        yaml.safe_dump({"placements": [{"model": "rose", "failure_domain": "delft-b"}]}),
        yaml.safe_dump({"removed": ["models/tulip"]}),
        yaml.safe_dump({"removed": ["workspaces/hall"]}),
        yaml.safe_dump({"services": [{"name": "rigs", "operations": []}]}),
        "limits: {queue_requests: 0}",
        "a: &x [1]\nb: *x",
        "",
    ]
)
NAMES = st.sampled_from(["10-a.yaml", "20-b.yaml", "30-c.yaml", "40-d.yml", "no yaml"])
FOLDERS = st.dictionaries(NAMES, st.one_of(TEXTS, st.text(max_size=40)), max_size=5)


@when("randomly generated folders are accepted one after the other")
def accept_drawn(context: Any) -> None:
    context.drawn = 0

    @drawn_settings(max_examples=300, derandomize=True, deadline=None)
    @given_drawn(st.lists(FOLDERS, min_size=1, max_size=4))
    def accept(folders: list[dict[str, str]]) -> None:
        context.drawn += 1
        check_acceptance(folders)

    accept()


def check_acceptance(folders: list[dict[str, str]]) -> None:
    """Check the guarantees of acceptance over a sequence of folders."""
    check = create_file_check()
    files: list[AcceptedFile] = []
    for folder in folders:
        before = {file.name: file.text for file in files}
        result = accept_folder(files, folder, check)
        assert result.is_ok(), result
        accepted = result.ok
        after = {file.name: file.text for file in accepted.files}
        assert merge_accepted(accepted.files, check).ok == accepted.configuration
        named = {problem.name for problem in accepted.problems}
        for name in {*before, *after, *folder}:
            if name in named:
                assert after.get(name) == before.get(name), "a named file changed"
                assert after.get(name) != folder.get(name), "a file in force is named"
            else:
                assert after.get(name) == folder.get(name), "a change was dropped unnamed"
        again = accept_folder(accepted.files, dict(reversed(folder.items())), check)
        assert again.ok == accepted, "accepting the same folder again changed something"
        files = accepted.files


@then("each result merges, reports what it rejected and is unchanged when accepted again")
def check_drawn(context: Any) -> None:
    assert context.drawn >= 300


@when("random bytes and damaged snapshots are offered to a follower")
def offer_random(context: Any) -> None:
    rng = random.Random(context.site.seed)
    # Nothing listens there, so the follower receives only the offered snapshots.
    context.fleet = FollowerCluster(f"{context.site.ip(13)}:2379", context.site.seed)
    context.add_cleanup(context.fleet.stop)
    follower = context.fleet.add("alone", True).follower
    good = encode_snapshot(
        Snapshot(revision=7, files=[AcceptedFile("10-models.yaml", models("tulip"))])
    )
    assert context.fleet.call(follower.offer(good))
    higher = encode_snapshot(
        Snapshot(revision=9, files=[AcceptedFile("10-models.yaml", "models: 7")])
    )
    context.taken = [context.fleet.call(follower.offer(higher))]
    for _ in range(300):
        damaged = bytearray(good)
        for _ in range(rng.randint(1, 3)):
            damaged[rng.randrange(len(damaged))] = rng.randrange(256)
        for octets in (rng.randbytes(rng.randint(0, 200)), bytes(damaged[: rng.randint(0, 90)])):
            context.taken.append(context.fleet.call(follower.offer(octets)))
    context.alone = follower


@then("it adopts none of them and keeps its revision")
def check_none_taken(context: Any) -> None:
    assert not any(context.taken)
    assert context.alone.current().revision == 7
    assert "tulip" in context.alone.current().models
    assert context.fleet.failed() == [], context.fleet.failed()


@when("an operator puts a file with {count:d} workspaces")
def put_many(context: Any, count: int) -> None:
    folder = operator_folder(context, "first")
    path = folder / "20-workspaces.yaml"
    path.write_text(workspaces(*(f"customer-{number:04d}" for number in range(count))))
    code, output = ctl(context, "config", "put", key_value_option(context), str(path))
    assert code == 0, output


@then("the stored snapshot has fewer than {most:d} bytes")
def check_size(context: Any, most: int) -> None:
    size = len(run(context.store.read(ACCEPTED_KEY)).ok.items[0].value)
    print(f"snapshot of 1800 workspaces: {size} octets")
    assert size < most


@when("files too large for the service are written directly in the service")
def write_too_large(context: Any) -> None:
    rng = random.Random(context.site.seed)
    for number in range(4):
        lines = [
            f"- {{name: {rng.randbytes(24).hex()}, token_sha256s: [{rng.randbytes(32).hex()}]}}"
            for _ in range(5500)
        ]
        write_directly(context, {f"5{number}-large.yaml": "\n".join(["workspaces:", *lines])})


@then("each watching follower reports that no change can be accepted and why")
def check_refusal(context: Any) -> None:
    def says_so() -> bool:
        statuses = [host.follower.status() for host in context.fleet.hosts.values()]
        return all("octets compressed" in status.refusal for status in statuses if status.watching)

    wait_until(says_so, "the refusal is in the status", 30)
