"""Starts a fleet on loopback: stand-ins and routers of one deployment.

Used by the demo and the measurements; the tests have their own fixture.
"""
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.environ.get("BRAMLEY_BUILD", os.path.join(ROOT, "build"))
ROUTER = os.path.join(BUILD, "source/router/bramleyarch")
CONTROL = os.path.join(BUILD, "source/control/bramleyctl")
STANDIN = os.path.join(BUILD, "source/testing/bramley_standin")
READY_LIMIT_S = 30
STOP_LIMIT_S = 20
_handed_out = set()


def free_port():
    """A port that is free for TCP and UDP, outside the clients' range.

    No port is given twice, as it is bound only later.
    """
    while True:
        port = random.randint(11000, 32000)
        if port in _handed_out:
            continue
        with contextlib.ExitStack() as sockets:
            try:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    s = socket.socket(socket.AF_INET, kind)
                    sockets.callback(s.close)
                    s.bind(("127.0.0.1", port))
                _handed_out.add(port)
                return port
            except OSError:
                continue


def page(port, path, body=None):
    """Text of a page on loopback; the body, if any, is posted."""
    url = f"http://127.0.0.1:{port}{path}"
    with urllib.request.urlopen(url, data=body, timeout=10) as answer:
        return answer.read().decode()


def metric(router, name):
    """A counter of the router's metrics page."""
    for line in page(router["admin"], "/metrics").splitlines():
        if line.startswith(name + " "):
            return float(line.rsplit(" ", 1)[1])
    raise KeyError(name)


class Fleet:
    """Processes of one run; `close` ends them and removes the files."""

    def __init__(self, deployment, routers_by_domain, model=None, plain=None,
                 edit=None, settings="", embedded=False):
        self.folder = tempfile.mkdtemp(prefix="bramley-")
        self.processes = []
        self.controls = []
        self.routers = []
        self.embedded = embedded
        try:
            self._start(deployment, routers_by_domain, model or {},
                        plain or {}, edit, settings)
        except BaseException:
            self.close()
            raise

    def _spawn(self, name, arguments):
        log = open(os.path.join(self.folder, name + ".log"), "w")
        process = subprocess.Popen(arguments, stdout=subprocess.PIPE,
                                   stderr=log, text=True)
        self.processes.append(process)
        return process

    def standin(self, mode, names, model):
        """Starts stand-ins; returns what they printed."""
        process = self._spawn("standin-" + mode, [
            STANDIN, mode, "--names", ",".join(names), "--model",
            json.dumps(model)])
        return json.loads(process.stdout.readline())

    def _start(self, deployment, routers_by_domain, model, plain, edit,
               settings):
        program = os.path.join(BUILD, "examples", deployment)
        self.document = json.loads(subprocess.check_output([program]))
        if edit:
            edit(self.document)
        for kind, mode, options in (("model", "engine", model),
                                    ("plain", "plain", plain)):
            servers = [s for service in self.document["services"]
                       if service["kind"] == kind for s in service["servers"]]
            state = self.standin(mode, [s["id"] for s in servers], options)
            self.controls.append(state["control"])
            ports = {s["name"]: s["port"] for s in state["servers"]}
            for server in servers:
                server["address"] = f"127.0.0.1:{ports[server['id']]}"
        self.document_file = os.path.join(self.folder, "fleet.json")
        if self.embedded:
            self.document["version"] = 1
            self.write_document()
        else:
            self.kv = self.standin("kv", ["kv"], {})
            self.submit()
        self._start_routers(routers_by_domain, settings)

    def write_document(self):
        with open(self.document_file, "w") as file:
            json.dump(self.document, file)

    def submit(self):
        """Submits the document as it stands now."""
        self.write_document()
        port = self.kv["servers"][0]["port"]
        subprocess.run([CONTROL, "submit", self.document_file, "--endpoint",
                        f"127.0.0.1:{port}"], check=True,
                       stdout=subprocess.DEVNULL)
        self.document["version"] += 1

    def _start_routers(self, routers_by_domain, settings):
        for domain, count in zip(self.document["domains"], routers_by_domain):
            for number in range(count):
                self.routers.append({
                    "id": f"{domain['id']}-entry-{number + 1}",
                    "domain": domain["id"], "region": domain["region"],
                    **{name: free_port() for name in
                       ("callers", "admin", "link", "heartbeat")}})
        for router in self.routers:
            self._start_router(router, settings)
        for router in self.routers:
            self._wait_ready(router)

    def _start_router(self, router, settings):
        peers = ", ".join(f"127.0.0.1:{r['heartbeat']}" for r in self.routers
                          if r is not router)
        lines = ["[router]"]
        lines += [f"{key} = {router[key]}" for key in
                  ("id", "domain", "region")]
        lines += ["[listen]"]
        lines += [f"{key} = 127.0.0.1:{router[key]}" for key in
                  ("callers", "admin", "link", "heartbeat")]
        lines += ["[fleet]", f"peers = {peers}", "[platform]"]
        if self.embedded:
            lines += ["mode = embedded", f"config_file = {self.document_file}"]
        else:
            port = self.kv["servers"][0]["port"]
            lines += ["mode = etcd", f"endpoint = 127.0.0.1:{port}"]
        file = os.path.join(self.folder, router["id"] + ".ini")
        with open(file, "w") as out:
            out.write("\n".join(lines) + "\n" + settings)
        router["process"] = self._spawn(router["id"], [ROUTER, file])

    def _wait_ready(self, router):
        end = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < end:
            with contextlib.suppress(OSError):
                page(router["admin"], "/readyz")
                return
            time.sleep(0.05)
        log = os.path.join(self.folder, router["id"] + ".log")
        with open(log) as file:
            raise RuntimeError(f"{router['id']} is not ready\n{file.read()}")

    def load(self, *arguments, quiet=True):
        """Runs `bramleyctl load` and returns its result."""
        output = os.path.join(self.folder, "result.json")
        command = [CONTROL, "load", "--config", self.document_file,
                   "--output", output]
        for router in self.routers:
            command += ["--router", f"127.0.0.1:{router['callers']}"]
        for control in self.controls:
            command += ["--standin", f"127.0.0.1:{control}"]
        command += [str(a) for a in arguments]
        subprocess.run(command, check=True,
                       stdout=subprocess.DEVNULL if quiet else None,
                       stderr=subprocess.DEVNULL if quiet else None)
        with open(output) as file:
            return json.load(file)

    def close(self):
        """Stops the processes in the reverse order of their start."""
        for process in reversed(self.processes):
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        for process in reversed(self.processes):
            try:
                process.wait(STOP_LIMIT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()
