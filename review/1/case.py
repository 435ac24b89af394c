"""Answers of endpoints are lost; a request that may run once is repeated as if its route were safe."""

import asyncio
import collections
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support"))
import fleet

HOST = "shop.example"
KEY = "ctnfzs989anu6wsjnban"
TARGET = "/orders/waitlist"  # begins with the prefix /orders/ only
ZONES = ["zone-a", "zone-b", "zone-c"]
ENDPOINTS = 6
CLIENTS = 15
PAUSE_S = 0.02

# The pages' answer_lost: half of a service's endpoints lose 5 in 100 of their answers for 4 s.
LOST_SHARE_OF_ENDPOINTS = 0.5
LOST_SHARE_OF_ANSWERS = 0.05
LOST_FOR_S = 4.0
CALM_S = 1.5  # before and after

ROUTES = [fleet.route("orders", "/orders/", "orders", kind="unsafe"),
          fleet.route("waitlist", "/orders/waitlist/", "orders", kind="safe")]


def route_of_target():
    """Returns the route with the longest prefix that begins the path."""
    specs = [item["spec"] for item in ROUTES if TARGET.startswith(item["spec"]["prefix"])]
    return max(specs, key=lambda spec: len(spec["prefix"]))


class LosingEndpoint(fleet.Endpoint):
    """Runs each request; while it is in trouble, resets some connections instead of answering."""

    is_losing = False

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.answer = self.answer_or_lose

    async def answer_or_lose(self, run, writer, echo):
        if self.is_losing and self.trial.random.random() < LOST_SHARE_OF_ANSWERS:
            self.trial.note(f"answer lost id={run.request_id} endpoint={self.name}")
            fleet.reset(writer)
            return False
        return await self.answer_whole(run, writer, echo)


async def client(trial, host, until):
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        request_id = trial.new_id()
        trial.note(f"sent id={request_id} to {host.name} POST {TARGET}")
        answer = await host.send("POST", TARGET, {
            "Host": HOST, fleet.REQUEST_ID: request_id, "X-Damaskgate-Deadline-Ms": "3000",
            "Authorization": f"Token {KEY}"}, b"one resident")
        trial.note(f"answered id={request_id} {answer.status}")
        await asyncio.sleep(PAUSE_S)


async def trouble(trial):
    await asyncio.sleep(CALM_S)
    chosen = trial.endpoints[:int(ENDPOINTS * LOST_SHARE_OF_ENDPOINTS)]
    trial.note(f"answers are lost at {[endpoint.name for endpoint in chosen]}")
    for endpoint in chosen:
        endpoint.is_losing = fleet.TROUBLE
    await asyncio.sleep(LOST_FOR_S)
    for endpoint in chosen:
        endpoint.is_losing = False
    trial.note("answers are no longer lost")


async def case(trial):
    assert route_of_target()["kind"] == "unsafe"
    trial.put_config([*ROUTES, fleet.service("orders"), fleet.tenant("club", [KEY]),
                      fleet.limits()])
    for number in range(ENDPOINTS):
        await trial.add_endpoint(f"i-orders-{number}", "orders", ZONES[number % len(ZONES)],
                                 work_s=0.1, slots=6, kind=LosingEndpoint)
    await trial.start_hosts(ZONES)
    until = asyncio.get_running_loop().time() + CALM_S + LOST_FOR_S + CALM_S
    await asyncio.gather(trouble(trial), *(
        client(trial, trial.hosts[number % len(trial.hosts)], until) for number in range(CLIENTS)))
    runs = collections.Counter(run.request_id for run in trial.runs)
    if not runs:
        raise fleet.CannotRun("no request was run")
    repeated = [request_id for request_id, count in runs.items() if count > 1]
    if not repeated:
        return []
    return [f"{len(repeated)} of {len(runs)} requests POST {TARGET} ran more than once: "
            f"{', '.join(repeated[:5])}"]


fleet.play(FOLDER / "record.txt", case)
