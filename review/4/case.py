"""A zone loses power during a series of configuration changes; the other hosts learn of them late."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support"))
import fleet

HOST = "shop.example"
KEY = "ctnfzs989anu6wsjnban"
TARGET = "/catalogue/7"
LOST_ZONE = "zone-a"
# The larger machines of the grown sites have half a core, the machines of the small sites 0.2.
HOSTS = [LOST_ZONE] * 16 + ["zone-b", "zone-c"] * 3
CORES = {LOST_ZONE: 0.5}

# The pages' config_storm and zone_loss.
STORM_GAP_S = 0.33
STORM_FOR_S = 4.0
DARK_FOR_S = 5.5
ROUNDS = 7
CHANGES = int(STORM_FOR_S / STORM_GAP_S)
SERVICES = 2 * CHANGES
PAUSE_S = 0.02
SETTLE_S = 6.0  # at least stableWindowS after the zone is back


def resources(service):
    return [fleet.route("catalogue", "/catalogue/", service),
            *(fleet.service(f"s{number}") for number in range(SERVICES)),
            fleet.tenant("club", [KEY]), fleet.limits()]


class Operator:
    """Moves the route from service to service and remembers when the store acknowledged it."""

    def __init__(self, trial):
        self.trial = trial
        self.moves = []  # (acknowledged at, service)

    def move(self):
        service = f"s{len(self.moves) % SERVICES}"
        self.moves.append((self.trial.put_config(resources(service)), service))
        return service

    def allowed(self, sent_at, ended_at):
        """Services that a request may go to: of the versions in force while it was served."""
        expired = [index for index, (at, _) in enumerate(self.moves)
                   if at + fleet.BOUNDS["configS"] < sent_at]
        last = max(index for index, (at, _) in enumerate(self.moves) if at <= ended_at)
        return {service for _, service in self.moves[max(expired, default=0):last + 1]}


async def client(trial, host, until, sent):
    while time.monotonic() < until:
        request_id = trial.new_id()
        sent_at = time.monotonic()
        trial.note(f"sent id={request_id} to {host.name} GET {TARGET}")
        answer = await host.send("GET", TARGET, {
            "Host": HOST, fleet.REQUEST_ID: request_id, "X-Damaskgate-Deadline-Ms": "2000",
            "Authorization": f"Token {KEY}"})
        trial.note(f"answered id={request_id} {answer.status}")
        sent[request_id] = (host.name, sent_at, time.monotonic())
        await asyncio.sleep(PAUSE_S)


async def storm(operator):
    for _ in range(CHANGES):
        operator.move()
        await asyncio.sleep(STORM_GAP_S)


async def lose_zone(trial):
    await asyncio.sleep(trial.random.uniform(1.0, 2.0))
    if not fleet.TROUBLE:
        return
    lost = [host for host in trial.hosts if host.zone == LOST_ZONE]
    for host in lost:
        host.signal(signal.SIGKILL)
    await asyncio.sleep(DARK_FOR_S)
    for host in lost:
        host.spawn()


async def case(trial):
    operator = Operator(trial)
    operator.move()
    for number in range(SERVICES):
        await trial.add_endpoint(f"i-{number}", f"s{number}", "zone-b", work_s=0.002)
    await trial.start_hosts(HOSTS, CORES)
    calm = [host for host in trial.hosts if host.zone != LOST_ZONE]
    sent = {}
    for _ in range(ROUNDS):
        await asyncio.sleep(SETTLE_S)
        until = time.monotonic() + STORM_FOR_S + 3
        await asyncio.gather(storm(operator), lose_zone(trial),
                             *(client(trial, host, until, sent) for host in calm))
    violations = []
    for run in trial.runs:
        host, sent_at, ended_at = sent[run.request_id]
        if run.service not in operator.allowed(sent_at, ended_at):
            moved_at = next(at for at, service in operator.moves
                            if at > next(at for at, name in reversed(operator.moves)
                                         if name == run.service and at <= sent_at))
            violations.append((sent_at - moved_at, host, run))
    if not violations:
        return []
    age, host, run = max(violations, key=lambda item: item[0])
    return [f"{len(violations)} of {len(trial.runs)} requests were run by a service from which a "
            f"configuration had moved the route over {fleet.BOUNDS['configS']} s before they were "
            f"sent; at most {age:.2f} s before: id={run.request_id} at {host} by {run.service}"]


fleet.play(FOLDER / "record.txt", case)
