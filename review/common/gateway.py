"""A small deployment of the stand-alone head for the cases of review/: the project's list service, catalogue
and storage nodes as processes of their own, and one head, all on loopback."""
import json
import os
import signal
import socket
import subprocess
import time

from stand_ins import ROOT, CannotRun

BIN = os.environ.get("REVIEW_BIN", os.path.join(ROOT, "build-review", "bin"))
HEAD = os.path.join(ROOT, "build", "bin", "yewmountd")


class Process:
    def __init__(self, args, log):
        self.log = open(log, "ab")
        self.process = subprocess.Popen(args, stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, stderr=self.log,
                                        cwd=ROOT)
        line = self.process.stdout.readline()
        if not line:
            raise CannotRun("%s did not start" % args[0])
        self.ready = json.loads(line)

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self.process.stdout.close()
        self.log.close()


class Gateway:
    """`nodes`: how many; `node_settings`: as in schema/node.json; `head_settings`: changes of the head's."""

    def __init__(self, folder, nodes=6, node_settings=None, head_settings=None):
        self.folder = folder
        self.processes = []
        try:
            self.list = self.start("yewmount-list")
            self.catalogue = self.start("yewmount-catalogue", "--folder", os.path.join(folder, "catalogue"))
            self.nodes = []
            for i in range(nodes):
                settings = {"name": "box-%d" % i, "shard": i, "cores": 2, "room": 64, "unit_us": 500,
                            "store": os.path.join(folder, "shard-%d" % i)}
                settings.update(node_settings or {})
                node = self.start("yewmount-node", "--settings", self.write("box-%d.json" % i, settings))
                self.nodes.append(node)
                self.control(self.list, {"set": [{"name": "box-%d" % i, "port": node.ready["port"], "shard": i,
                                                  "start": node.ready["start"], "state": "ready",
                                                  "at_once": True}]})
            self.settings = head_template(folder, self.list.ready["port"], self.catalogue.ready["port"])
            self.settings.update(head_settings or {})
            self.head = self.start_program(HEAD, "--settings", self.write("head.json", self.settings))
            self.port = self.head.ready["port"]
            self.wait_healthy(nodes)
        except Exception:
            self.end()
            raise

    def write(self, name, value):
        path = os.path.join(self.folder, name)
        with open(path, "w") as f:
            json.dump(value, f)
        return path

    def start_program(self, path, *args):
        if not os.access(path, os.X_OK):
            raise CannotRun("%s is not built" % path)
        name = os.path.basename(path)
        process = Process([path, *args], os.path.join(self.folder, "%s-%d.log" % (name, len(self.processes))))
        self.processes.append(process)
        return process

    def start(self, name, *args):
        return self.start_program(os.path.join(BIN, name), *args)

    @staticmethod
    def control(process, command):
        with socket.create_connection(("127.0.0.1", process.ready["control_port"]), 5) as s:
            s.sendall(json.dumps(command).encode() + b"\n")
            answer = json.loads(s.makefile().readline())
            if not answer.get("ok"):
                raise CannotRun("a stand-in did not take %s: %s" % (command, answer))

    def wait_healthy(self, nodes):
        end = time.monotonic() + 10
        while time.monotonic() < end:
            status, _, body = request(self.port, "GET", "/.yewmount/health")
            if status == 200 and json.loads(body)["list_version"] >= nodes:
                return
            time.sleep(0.05)
        raise CannotRun("the head did not become healthy")

    def end(self):
        for process in reversed(self.processes):
            process.end()


def head_template(folder, list_port, catalogue_port):
    """The settings of a small deployment, after the site's page: groups, plans and figures of rules."""
    return {
        "name": "head-0", "heads": 3, "own_number": 0, "seed": 7, "listen": {"address": "127.0.0.1", "port": 0},
        "list": {"address": "127.0.0.1", "port": list_port, "file": os.path.join(folder, "list.json")},
        "catalogue": {"address": "127.0.0.1", "port": catalogue_port, "keep_ms": 200, "allow_ms": 100},
        "unit_bytes": 16384,
        "groups": [
            {"name": "shift-read", "latency_goal_ms": 300, "hard_limit_ms": 2000, "gain": 2, "late_part": 0.2,
             "repeat": "idempotent"},
            {"name": "signup-write", "latency_goal_ms": 600, "hard_limit_ms": 3000, "gain": 2, "late_part": 0.2,
             "repeat": "side-effecting"},
            {"name": "roster-export", "latency_goal_ms": 2000, "hard_limit_ms": 6000, "gain": 1,
             "late_part": 0.25, "repeat": "idempotent"}],
        "choose": [{"method": "PUT", "group": "signup-write"}, {"method": "DELETE", "group": "signup-write"},
                   {"method": "GET", "at_most_bytes": 65536, "group": "shift-read"}, {"group": "roster-export"}],
        "plans": [{"name": "association", "nominal": 600, "reserve": 480, "weight": 1, "gain_factor": 0.9}],
        "volumes": [{"name": "rosters", "plan": "association", "heads": 1}],
        "nodes": {"usual_units": 4, "most_units": 16, "cold_bears": 64, "share_gain": 0.35, "beyond_gain": 0.08,
                  "tells_elsewhere": True, "sizes_told": False},
        "allowed": {"probes": False, "advice": True, "longest_advice_ms": 500, "most_submits": 3},
        "rules": {"answer_slack_ms": 50, "cold_from": 0.2, "fall_multiple": 4, "warm_within_ms": 6000,
                  "overload_for_ms": 1500}}


def request(port, method, path, body=None, headers=()):
    """Sends one request on a connection of its own; returns status, headers and body."""
    with socket.create_connection(("127.0.0.1", port), 15) as s:
        head = "%s %s HTTP/1.1\r\nHost: head\r\n" % (method, path)
        if body is not None:
            head += "Content-Length: %d\r\n" % len(body)
        for line in headers:
            head += line + "\r\n"
        s.sendall(head.encode() + b"\r\n" + (body or b""))
        return read_response(s.makefile("rb"))


def read_response(f):
    """Reads one response; the body is shorter than announced if the connection ended within it."""
    line = f.readline()
    if not line:
        return 0, {}, b""
    status = int(line.split()[1])
    headers = {}
    while (line := f.readline()) not in (b"\r\n", b""):
        name, value = line.decode().split(":", 1)
        headers[name.strip().lower()] = value.strip()
    try:
        body = f.read(int(headers.get("content-length", 0)))
    except OSError:
        body = b""
    return status, headers, body
