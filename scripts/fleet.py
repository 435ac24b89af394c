"""Starts and stops one deployment of examples/ on loopback: platform, upstreams and entry hosts."""

import http.client
import json
import pathlib
import shutil
import signal
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
PLATFORM_ADDRESS = ("127.0.0.1", 18500)
START_TIMEOUT_S = 30
STOP_TIMEOUT_S = 30


class DeploymentError(Exception):
    """A process or a request of the deployment failed."""


def call(address, port, method, path, headers=None, body=None, timeout=5):
    """Sends one request on a new connection; returns (status, headers, body)."""
    connection = http.client.HTTPConnection(address, port, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


class Deployment:
    """The processes of one example, each with its own log in a temporary folder."""

    def __init__(self, example, binaries=ROOT / "build" / "release" / "bin"):
        self.example = ROOT / "examples" / example
        self.binaries = pathlib.Path(binaries)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix=f"damaskgate-{self.example.name}-"))
        self.published = self.folder / "published"
        self.revision = 0
        self.processes = {}
        self.hosts = {
            path.stem: json.loads(path.read_text())
            for path in sorted((self.example / "hosts").glob("*.json"))
        }
        self.keys = json.loads((self.example / "keys.json").read_text())

    # Processes

    def start_process(self, name, program, *arguments):
        log = open(self.folder / f"{name}.log", "ab")
        command = [str(self.binaries / program), *map(str, arguments)]
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log,
                                                stdin=subprocess.DEVNULL)
        log.close()
        return self.processes[name]

    def start(self, upstream_arguments=("--service-ms", "20")):
        self.publish(self.example / "tree")
        shutil.copy(self.example / "platform-hosts.json", self.published / "hosts")
        self.start_process("platform", "damaskgate-platform", "--address", PLATFORM_ADDRESS[0],
                           "--port", PLATFORM_ADDRESS[1], "--directory", self.folder / "kv")
        for name, endpoint in self.endpoints().items():
            self.start_process(f"upstream-{name}", "damaskgate-upstream",
                               "--address", endpoint["address"], "--port", endpoint["port"],
                               "--slots", endpoint["slots"], *upstream_arguments)
        for host in self.hosts:
            self.start_host(host)
        self.wait_until_serving()

    def start_host(self, host):
        self.start_process(host, "damaskgate-entry", "--config",
                           self.example / "hosts" / f"{host}.json")

    def publish(self, tree):
        """Packs a tree with the next revision number into the folder that the platform serves."""
        self.revision += 1
        self.published = self.folder / "kv" / "damaskgate"
        self.published.mkdir(parents=True, exist_ok=True)
        command = [str(self.binaries / "damaskgate-ctl"), "pack", str(tree), "--out",
                   str(self.published), "--revision", str(self.revision)]
        subprocess.run(command, check=True, stdout=subprocess.DEVNULL)

    def endpoints(self):
        """Returns the endpoints of the example, by name, with address, port and slots."""
        tree = self.example / "tree"
        defaults = json.loads((tree / "defaults.json").read_text())
        found = {}
        for path in sorted((tree / "endpoints").glob("*.json")):
            branch = json.loads(path.read_text())
            for name, entry in branch["entries"].items():
                merged = {**defaults.get("endpoints", {}), **branch.get("defaults", {}), **entry}
                merged["slots"] = defaults["services"]["slots"]
                found[name] = merged
        return found

    def wait_until_serving(self):
        deadline = time.monotonic() + START_TIMEOUT_S
        for host, settings in self.hosts.items():
            while not self.is_serving(settings):
                if self.processes[host].poll() is not None:
                    raise DeploymentError(f"{host} exited before it served: {self.log_tail(host)}")
                if time.monotonic() > deadline:
                    raise DeploymentError(f"{host} did not serve in time: {self.log_tail(host)}")
                time.sleep(0.05)

    def wait_until_admitted(self, workspace, host, path):
        """Waits until a host admits a workspace; in a new fleet this takes one lease time."""
        deadline = time.monotonic() + START_TIMEOUT_S
        settings = self.hosts[host]
        headers = self.key_headers(workspace)
        while call(settings["address"], settings["callerPort"], "GET", path, headers)[0] != 200:
            if time.monotonic() > deadline:
                raise DeploymentError(
                    f"{workspace} was not admitted in time: {self.log_tail(host)}")
            time.sleep(0.1)

    def is_serving(self, settings):
        try:
            status, _, body = call(settings["address"], settings["callerPort"], "GET",
                                   "/.damaskgate/v1/entries")
        except OSError:
            return False
        return status == 200 and len(json.loads(body)["entries"]) > 0

    def log_tail(self, name, lines=5):
        return "\n".join((self.folder / f"{name}.log").read_text().splitlines()[-lines:])

    def stop_process(self, name, signal_number=signal.SIGTERM):
        """Signals a process and waits for its end.

        Returns its exit code, or None when it was killed after STOP_TIMEOUT_S.
        """
        process = self.processes.pop(name)
        if process.poll() is None:
            process.send_signal(signal_number)
        try:
            return process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            return None

    def stop(self):
        """Stops the entry hosts gracefully, then the rest; returns the exit codes of the hosts."""
        running = [host for host in self.hosts if host in self.processes]
        for host in running:
            self.processes[host].send_signal(signal.SIGTERM)
        codes = {}
        for host in running:
            try:
                codes[host] = self.processes[host].wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                self.processes[host].kill()
                codes[host] = None
            del self.processes[host]
        for name in list(self.processes):
            self.stop_process(name)
        return codes

    def remove_logs(self):
        shutil.rmtree(self.folder, ignore_errors=True)

    # Callers

    def look_up(self, host, workspace=None):
        """Returns the look-up response of an entry host: the entry hosts to use."""
        settings = self.hosts[host]
        status, _, body = call(settings["address"], settings["callerPort"], "GET",
                               "/.damaskgate/v1/entries", self.key_headers(workspace))
        if status != 200:
            raise DeploymentError(f"look-up at {host} returned status {status}: {body!r}")
        return json.loads(body)

    def key_headers(self, workspace):
        return {"Authorization": f"Bearer {self.keys[workspace]}"} if workspace else {}
