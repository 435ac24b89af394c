"""Runs examples/demo and prints the responses to the requests of one caller."""

import sys

import fleet


def print_response(title, status, headers, body):
    verdict = headers.get("Damaskgate-Verdict", "-")
    reason = headers.get("Damaskgate-Reason", "-")
    text = body.decode(errors="replace").strip()
    print(f"{title}: status={status} verdict={verdict} reason={reason} body={text[:100]}")


def call_entry(entry, *arguments, **options):
    return fleet.call(entry["address"], entry["port"], *arguments, **options)


def run(deployment):
    print("starting: platform, 6 upstream endpoints, 4 entry hosts in 3 failure domains")
    deployment.start()
    deployment.wait_until_admitted("schools", "nor-01", "/timetable/today")

    lookup = deployment.look_up("nor-01", "schools")
    names = ", ".join(entry["host"] for entry in lookup["entries"])
    print(f"look-up of workspace schools at nor-01: use {names} for {lookup['ttl_seconds']} s")
    entry = lookup["entries"][0]
    headers = deployment.key_headers("schools")

    failures = 0

    def expect(title, expected, status, fields, body):
        nonlocal failures
        print_response(title, status, fields, body)
        if status != expected:
            failures += 1
            print(f"  expected status {expected}")

    expect("timetable with key", 200, *call_entry(entry, "GET", "/timetable/today", headers))
    expect("timetable without key", 401, *call_entry(entry, "GET", "/timetable/today"))
    expect("open timetable without key", 200, *call_entry(entry, "GET", "/open/timetable"))
    expect("unknown route", 404, *call_entry(entry, "GET", "/nowhere", headers))

    # Only the host that issued a ticket runs its operations: request it from the host used below.
    ticket = deployment.look_up(entry["host"], "schools")["operation_ticket"]
    operation = {**headers, "Operation-Key": f"{ticket}/place-1"}
    place = ("POST", "/booking/place")
    expect("booking", 200, *call_entry(entry, *place, operation, body=b"place=1"))
    expect("the same booking again", 409, *call_entry(entry, *place, operation, body=b"place=1"))
    return failures


def main():
    deployment = fleet.Deployment("demo")
    failures = 1
    try:
        failures = run(deployment)
    finally:
        codes = deployment.stop()
        print("stopped: " + ", ".join(f"{host} exit code {code}" for host, code in codes.items()))
    if failures or any(code != 0 for code in codes.values()):
        print(f"logs are kept in {deployment.folder}")
        return 1
    deployment.remove_logs()
    return 0


if __name__ == "__main__":
    sys.exit(main())
