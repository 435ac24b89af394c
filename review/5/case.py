"""A write to the store is done late, after the endpoint's entry has been removed."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support"))
import fleet

HOST = "shop.example"
KEY = "ctnfzs989anu6wsjnban"
TARGET = "/catalogue/7"
ZONES = ["zone-a", "zone-b", "zone-c"]
CLIENTS = 12
PAUSE_S = 0.02

HEARTBEAT_S = 1.5
LAPSE_S = 3 * HEARTBEAT_S  # the store removes an entry after this silence
# The pages' platform_lost, how late: writes are done 1 to 6 s later.
LOST_FOR_S = 1.0
LATE_BY_S = 5.8
# The store has been without disruption for over stableWindowS when the endpoint leaves.
LEAVES_AFTER_S = LOST_FOR_S + fleet.BOUNDS["stableWindowS"] + 0.5
SERVES_ON_S = 9.0  # "at times many seconds"


async def client(trial, host, until, sent):
    while time.monotonic() < until:
        request_id = trial.new_id()
        sent[request_id] = time.monotonic()
        trial.note(f"sent id={request_id} to {host.name} GET {TARGET}")
        answer = await host.send("GET", TARGET, {
            "Host": HOST, fleet.REQUEST_ID: request_id, "X-Damaskgate-Deadline-Ms": "2000",
            "Authorization": f"Token {KEY}"})
        trial.note(f"answered id={request_id} {answer.status}")
        await asyncio.sleep(PAUSE_S)


async def beat(trial, leaving):
    """Heartbeats of the leaving endpoint: the first is done late, the next ones at once."""
    first = leaving.entry()
    trial.note(f"store: a write of {leaving.name} is not answered, seq={leaving.sequence}")
    if not fleet.TROUBLE:
        trial.store.put(leaving.key, first)
    start = time.monotonic()
    while time.monotonic() < start + LEAVES_AFTER_S - HEARTBEAT_S:
        await asyncio.sleep(HEARTBEAT_S)
        leaving.register()
    await asyncio.sleep(max(start + LEAVES_AFTER_S - time.monotonic(), 0))
    trial.store.remove(leaving.key)
    left_at = time.monotonic()
    trial.note(f"store: removed {leaving.name}, which serves on for a while")
    if fleet.TROUBLE:
        await asyncio.sleep(start + LATE_BY_S - time.monotonic())
        trial.store.put(leaving.key, first)
        trial.note(f"store: the write of {LATE_BY_S} s before is done")
        await asyncio.sleep(LAPSE_S)
        trial.store.remove(leaving.key)
        trial.note(f"store: removed {leaving.name}, which has been silent")
    await asyncio.sleep(max(left_at + SERVES_ON_S - time.monotonic(), 0))
    return left_at


async def case(trial):
    trial.put_config([fleet.route("catalogue", "/catalogue/", "storefront"),
                      fleet.service("storefront"), fleet.tenant("club", [KEY]), fleet.limits()])
    for number in range(4):
        await trial.add_endpoint(f"i-storefront-{number}", "storefront", ZONES[number % 3])
    leaving = trial.endpoints[0]
    await trial.start_hosts(ZONES)
    await asyncio.sleep(fleet.BOUNDS["stableWindowS"] + 1)
    sent = {}
    until = time.monotonic() + LEAVES_AFTER_S + SERVES_ON_S
    clients = [asyncio.create_task(client(trial, trial.hosts[number % 3], until, sent))
               for number in range(CLIENTS)]
    left_at = await beat(trial, leaving)
    await asyncio.gather(*clients)
    if not any(run.endpoint == leaving.name for run in trial.runs if run.at < left_at):
        raise fleet.CannotRun("the leaving endpoint got no request before it left")
    late = [run for run in trial.runs if run.endpoint == leaving.name
            and run.at > left_at + fleet.BOUNDS["drainS"]]
    if not late:
        return []
    first, last = late[0].at - left_at, late[-1].at - left_at
    return [f"{len(late)} requests reached {leaving.name} {first:.2f} to {last:.2f} s after the "
            f"store acknowledged that it is gone"]


fleet.play(FOLDER / "record.txt", case)
