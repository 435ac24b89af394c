"""A route is added below another one; requests on the other route's paths reach the new service."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support"))
import fleet

HOST = "shop.example"
KEY = "ctnfzs989anu6wsjnban"
TARGET = "/catalogue/archive"  # begins with the prefix /catalogue/ only
SECONDS_BEFORE = 2
SECONDS_AFTER = 4
PAUSE_S = 0.03


def resources(has_archive):
    """The archive route covers the paths that begin with /catalogue/archive/."""
    routes = [fleet.route("catalogue", "/catalogue/", "storefront")]
    if has_archive:
        routes.append(fleet.route("archive", "/catalogue/archive/", "archive"))
    return [*routes, fleet.service("storefront"), fleet.service("archive"),
            fleet.tenant("club", [KEY]), fleet.limits()]


def services_allowed():
    """Services to which a configuration of this case allows TARGET to go, by the users' pages.

    The route is the one with the longest prefix that begins the path.
    """
    allowed = set()
    for has_archive in (False, True):
        routes = [item["spec"] for item in resources(has_archive)
                  if item["resourceKind"] == "routes"]
        matching = [spec for spec in routes if TARGET.startswith(spec["prefix"])]
        allowed.add(max(matching, key=lambda spec: len(spec["prefix"]))["service"])
    return allowed


async def request(trial, host):
    request_id = trial.new_id()
    headers = {"Host": HOST, fleet.REQUEST_ID: request_id, "X-Damaskgate-Deadline-Ms": "3000",
               "Authorization": f"Token {KEY}"}
    trial.note(f"sent id={request_id} to {host.name} GET {TARGET}")
    answer = await host.send("GET", TARGET, headers)
    trial.note(f"answered id={request_id} {answer.status} {answer.body.decode().strip()!r}")


async def request_for(trial, host, seconds):
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    while loop.time() < until:
        await request(trial, host)
        await asyncio.sleep(PAUSE_S)


async def case(trial):
    trial.put_config(resources(has_archive=False))
    for zone in ("zone-a", "zone-b"):
        await trial.add_endpoint(f"i-storefront-{zone}", "storefront", zone)
        await trial.add_endpoint(f"i-archive-{zone}", "archive", zone)
    await trial.start_hosts(["zone-a", "zone-b", "zone-a"])
    await asyncio.gather(*(request_for(trial, host, SECONDS_BEFORE) for host in trial.hosts))
    if fleet.TROUBLE:
        trial.put_config(resources(has_archive=True))
    await asyncio.gather(*(request_for(trial, host, SECONDS_AFTER) for host in trial.hosts))
    if not trial.runs:
        raise fleet.CannotRun("no request was run")
    allowed = services_allowed()
    wrong = [run for run in trial.runs if run.service not in allowed]
    if not wrong:
        return []
    return [f"{len(wrong)} of {len(trial.runs)} requests GET {TARGET} were run by services that no "
            f"configuration allows: {sorted({run.service for run in wrong})}, "
            f"allowed: {sorted(allowed)}"]


fleet.play(FOLDER / "record.txt", case)
