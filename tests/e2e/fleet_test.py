"""End-to-end tests: run the processes of examples/demo on loopback and inject faults."""

import argparse
import http.client
import json
import pathlib
import shutil
import signal
import sys
import threading
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "scripts"))

import fleet  # noqa: E402

WAIT_S = 20
BINARIES = None


def wait_until(condition, description):
    """Waits until a condition is true; the time-out only ends a test that hangs."""
    deadline = time.monotonic() + WAIT_S
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"timed out after {WAIT_S} s: {description}")
        time.sleep(0.05)


class FleetTests(unittest.TestCase):
    def setUp(self):
        self.deployment = fleet.Deployment("demo", BINARIES)
        self.deployment.start()
        self.wait_until_served("schools", "/timetable/today")

    def tearDown(self):
        self.deployment.stop()
        if not self._outcome.result.failures and not self._outcome.result.errors:
            self.deployment.remove_logs()

    # Steps

    def send(self, host, path, workspace=None, method="GET", headers=None, body=None):
        settings = self.deployment.hosts[host]
        fields = {**self.deployment.key_headers(workspace), **(headers or {})}
        return fleet.call(settings["address"], settings["callerPort"], method, path, fields, body)

    def status(self, host, path, workspace=None):
        try:
            return self.send(host, path, workspace)[0]
        except OSError:
            return None

    def wait_until_served(self, workspace, path, hosts=None):
        for host in hosts or self.deployment.hosts:
            wait_until(lambda host=host: self.status(host, path, workspace) == 200,
                       f"{host} serves {path}")

    def publish_edited(self, change):
        """Applies change(folder) to a copy of the settings tree and publishes the copy."""
        tree = self.deployment.folder / "tree"
        if not tree.exists():
            shutil.copytree(self.deployment.example / "tree", tree)
        change(tree)
        self.deployment.publish(tree)

    @staticmethod
    def edit(path, update):
        content = json.loads(path.read_text())
        update(content)
        path.write_text(json.dumps(content, indent=2))

    def withdraw_key(self, workspace):
        def change(tree):
            self.edit(tree / "workspaces" / "all.json",
                      lambda content: content["entries"][workspace].update(keys=[]))
        self.publish_edited(change)

    # Tests

    def test_whole_path_answers_each_caller(self):
        # [WHEN] Two workspaces send requests on connections of their own at the same time
        responses = {}

        def caller(workspace, number):
            responses[workspace, number] = self.send(
                "nor-01", f"/timetable/{workspace}/{number}", workspace)

        threads = [threading.Thread(target=caller, args=(workspace, number))
                   for workspace in ("schools", "halls") for number in range(5)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

        # [THEN] Each gets the response to its own request
        for (workspace, number), (status, _, body) in responses.items():
            self.assertEqual(status, 200, body)
            self.assertIn(f"/timetable/{workspace}/{number}", body.decode())

    def test_killed_host_is_replaced(self):
        # [GIVEN] A host that is killed
        self.assertEqual(self.deployment.stop_process("eas-01", signal.SIGKILL), -signal.SIGKILL)

        # [WHEN] The other hosts have detected the failure
        def is_not_listed():
            entries = self.deployment.look_up("nor-01", "schools")["entries"]
            return "eas-01" not in [entry["host"] for entry in entries]
        wait_until(is_not_listed, "the look-up names running hosts only")

        # [THEN] The other hosts serve, and so does a new process at the address of the killed one
        self.wait_until_served("schools", "/timetable/today", ["nor-01", "nor-02", "sou-01"])
        self.deployment.start_host("eas-01")
        self.wait_until_served("schools", "/timetable/today", ["eas-01"])

    def test_frozen_host_wakes_and_serves(self):
        # [GIVEN] A host that is suspended until the others have taken over its work
        process = self.deployment.processes["nor-02"]
        process.send_signal(signal.SIGSTOP)
        self.wait_until_served("schools", "/timetable/today", ["nor-01", "eas-01", "sou-01"])

        # [WHEN] The host resumes
        process.send_signal(signal.SIGCONT)

        # [THEN] The host serves again
        self.wait_until_served("schools", "/timetable/today", ["nor-02"])

    def test_withdrawn_key_stops_while_connected(self):
        # [GIVEN] A caller that stays connected
        settings = self.deployment.hosts["sou-01"]
        connection = http.client.HTTPConnection(settings["address"], settings["callerPort"])

        def send():
            connection.request("GET", "/timetable/today",
                               headers=self.deployment.key_headers("halls"))
            response = connection.getresponse()
            response.read()
            return response.status
        wait_until(lambda: send() == 200, "the key works")

        # [WHEN] Its key is withdrawn
        self.withdraw_key("halls")

        # [THEN] The key is refused on the same connection, and other keys stay valid
        wait_until(lambda: send() == 401, "the withdrawn key is refused")
        self.assertEqual(self.status("sou-01", "/timetable/today", "schools"), 200)

    def test_withdrawn_key_stops_on_hosts_cut_from_the_platform(self):
        # [GIVEN] A host that cannot reach the platform and gets its settings from other hosts
        host = json.loads((self.deployment.example / "hosts" / "sou-01.json").read_text())
        self.deployment.stop_process("sou-01")
        host["platform"] = [{"address": "127.0.0.1", "port": 1}]
        host["fleetSecretFile"] = str(self.deployment.example / "fleet.secret")
        config = self.deployment.folder / "sou-01.json"
        config.write_text(json.dumps(host))
        self.deployment.start_process("sou-01", "damaskgate-entry", "--config", config)
        self.wait_until_served("halls", "/timetable/today", ["sou-01"])

        # [WHEN] A key is withdrawn
        self.withdraw_key("halls")

        # [THEN] The host gets the change from other hosts and refuses the key
        wait_until(lambda: self.status("sou-01", "/timetable/today", "halls") == 401,
                   "the withdrawn key is refused")

    def test_platform_outage_changes_nothing(self):
        # [GIVEN] The platform is down for longer than mirrored items count as fresh
        self.deployment.stop_process("platform", signal.SIGKILL)
        time.sleep(5)

        # [THEN] Every host serves
        for host in self.deployment.hosts:
            self.assertEqual(self.status(host, "/timetable/today", "schools"), 200, host)

    def test_planned_stop_cuts_no_request(self):
        # [GIVEN] Callers that use the hosts named by look-ups while a host stops
        outcomes = []
        stopping = threading.Event()

        def caller():
            while not stopping.is_set():
                entry = self.deployment.look_up("nor-01", "schools")["entries"][0]
                until = time.monotonic() + 2
                while time.monotonic() < until and not stopping.is_set():
                    try:
                        outcomes.append(fleet.call(
                            entry["address"], entry["port"], "GET", "/timetable/today",
                            self.deployment.key_headers("schools"))[0])
                    except OSError as error:
                        outcomes.append(repr(error))
                    time.sleep(0.05)

        threads = [threading.Thread(target=caller) for _ in range(4)]
        for thread in threads:
            thread.start()
        time.sleep(1)

        # [WHEN] The host that they use gets SIGTERM
        used = self.deployment.look_up("nor-01", "schools")["entries"][0]["host"]
        if used == "nor-01":
            used = "eas-01"
        code = self.deployment.stop_process(used)
        stopping.set()
        for thread in threads:
            thread.join()

        # [THEN] The host exits with code 0 and no request is interrupted
        self.assertEqual(code, 0)
        self.assertEqual([outcome for outcome in outcomes if not isinstance(outcome, int)], [])
        self.assertGreater(len(outcomes), 0)

    def test_second_signal_stops_at_once_with_work_running(self):
        # [GIVEN] Requests that hang for longer than an immediate stop may take
        for name, endpoint in self.deployment.endpoints().items():
            if name.startswith("timetable"):
                fleet.call(endpoint["address"], endpoint["port"], "PUT", "/_faults",
                           body=json.dumps({"hang": True}).encode())
        threads = [threading.Thread(target=self.status, args=("sou-01", "/timetable/a", "schools"))
                   for _ in range(4)]
        for thread in threads:
            thread.start()
        time.sleep(0.5)

        # [WHEN] The host gets SIGTERM twice
        process = self.deployment.processes.pop("sou-01")
        process.send_signal(signal.SIGTERM)
        time.sleep(0.2)
        process.send_signal(signal.SIGTERM)
        code = process.wait(WAIT_S)
        for thread in threads:
            thread.join()

        # [THEN] The host exits with code 4: requests were interrupted
        self.assertEqual(code, 4)

    def test_domain_taken_out_gets_no_new_work(self):
        # [WHEN] Operators take a failure domain out of service
        def change(tree):
            self.edit(tree / "domains.json",
                      lambda content: content["entries"].update(east={"inService": False}))
        self.publish_edited(change)

        # [THEN] Look-ups omit the host of that domain, the host refuses requests with verdict not-run,
        # and the endpoints of the domain get no requests
        def is_not_listed():
            entries = self.deployment.look_up("nor-01", "schools")["entries"]
            return "eas-01" not in [entry["host"] for entry in entries]
        wait_until(is_not_listed, "look-ups omit the host of the domain")
        wait_until(lambda: self.status("eas-01", "/timetable/today", "schools") == 503,
                   "the host of the domain refuses new requests")
        _, headers, _ = self.send("eas-01", "/timetable/today", "schools")
        self.assertEqual(headers["Damaskgate-Verdict"], "not-run")
        before = self.requests_run("timetable-02")
        for _ in range(20):
            self.assertEqual(self.status("nor-01", "/timetable/today", "schools"), 200)
        self.assertEqual(self.requests_run("timetable-02"), before)

        # [THEN] The failure domain serves again when it is back in service
        self.publish_edited(lambda tree: self.edit(
            tree / "domains.json", lambda content: content["entries"].update(east={})))
        self.wait_until_served("schools", "/timetable/today", ["eas-01"])

    def requests_run(self, endpoint):
        address = self.deployment.endpoints()[endpoint]
        _, _, body = fleet.call(address["address"], address["port"], "GET", "/_stats")
        return json.loads(body)["requests"]


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--binaries", default=ROOT / "build" / "release" / "bin")
    options, remaining = parser.parse_known_args()
    BINARIES = options.binaries
    unittest.main(argv=[sys.argv[0], *remaining])
