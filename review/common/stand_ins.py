"""Small stand-ins of the platform for the cases of review/: discovery, storage nodes, clients and the
supervisor of heads, written from the operators' protocol page. Standard library only, loopback only."""
import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time

# The time limit of run.sh ends a case by SIGTERM; its processes end with it.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


def deploy_command(name):
    """Returns a command of deploy/balancer.toml, which has one `name = "..."` a line."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as f:
        for line in f:
            if line.startswith(name + " ="):
                return line.split('"')[1]
    raise CannotRun("deploy/balancer.toml has no command " + name)


def free_port(address="127.0.0.1"):
    with socket.socket() as s:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        s.bind((address, 0))
        return s.getsockname()[1]


class Record:
    """Appends JSON lines with the monotonic time in seconds since the start of the case."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def add(self, event, **fields):
        self.file.write(json.dumps({"t": round(self.now(), 4), "ev": event, **fields}) + "\n")

    def close(self):
        self.file.close()


class Head:
    """A real head, started with the `run` command of the deploy file."""

    def __init__(self, folder, config):
        self.file = os.path.join(folder, config["name"] + ".json")
        self.write(config)
        self.config = config
        self.log = open(os.path.join(folder, config["name"] + ".log"), "ab")
        host, port = config["listen"].rsplit(":", 1)
        self.address = (host, int(port))
        self.process = None

    def write(self, config):
        with open(self.file + ".new", "w") as f:
            json.dump(config, f)
        os.replace(self.file + ".new", self.file)

    def start(self, before=None):
        """`before` is called in the head's process before the command begins, to set its limits."""
        env = dict(os.environ, RELAY_CONFIG=self.file, RELAY_NAME=self.config["name"],
                   RELAY_LISTEN=self.config["listen"], RELAY_DISCOVERY=self.config["discovery"])
        self.process = subprocess.Popen(["/bin/sh", "-c", deploy_command("run")], cwd=ROOT, env=env,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log,
                                        preexec_fn=before)

    async def wait_ready(self, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise CannotRun("the head ended with %s before it was ready" % self.process.returncode)
            try:
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(command("PING"))
                line = await asyncio.wait_for(reader.readline(), 2)
                writer.close()
                if line == b"+PONG\r\n":
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("the head did not become ready")

    def resident_bytes(self):
        """Memory of the head as the platform counts it; 0 once it has ended."""
        try:
            with open("/proc/%d/statm" % self.process.pid) as f:
                return int(f.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
        except (OSError, IndexError):
            return 0

    def descriptors(self):
        try:
            return len(os.listdir("/proc/%d/fd" % self.process.pid))
        except OSError:
            return 0

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.log.close()


def command(*words):
    parts = [b"*%d\r\n" % len(words)]
    for word in words:
        word = word if isinstance(word, bytes) else word.encode()
        parts.append(b"$%d\r\n%s\r\n" % (len(word), word))
    return b"".join(parts)


async def read_command(reader):
    """Reads one command, an array of bulk strings; returns None at the end of the stream."""
    line = await reader.readline()
    if not line:
        return None
    if line[:1] != b"*":
        raise ValueError("not a command: %r" % line[:60])
    words = []
    for _ in range(int(line[1:])):
        size = int((await reader.readline())[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


async def read_answer(reader):
    """Reads one answer of a head; returns (kind, bytes), kind one of value, busy, failed, closed."""
    try:
        line = await reader.readline()
        if not line.endswith(b"\r\n"):
            return "closed", line
        if line[:1] == b"$" and line[1:2] != b"-":
            return "value", (await reader.readexactly(int(line[1:]) + 2))[:-2]
        return ("busy" if line.startswith(b"-BUSY") else "failed"), line[:-2]
    except (OSError, asyncio.IncompleteReadError):
        return "closed", b""


class Discovery:
    """The agent of the list: whole lists, and watches that wait for a newer version."""

    def __init__(self, record):
        self.record = record
        self.version = 1
        self.entries = {}
        self.changed_at = {}
        self.news = asyncio.Condition()
        self.serving = []
        self.is_cut_off = False

    async def start(self, address="127.0.0.1"):
        self.listener = socket.socket()
        self.listener.setblocking(False)
        self.listener.bind((address, 0))
        self.listener.listen(0)
        self.address = "%s:%d" % self.listener.getsockname()
        self.accepting = asyncio.create_task(self.accept())

    async def accept(self):
        while True:
            connection, _ = await asyncio.get_running_loop().sock_accept(self.listener)
            reader, writer = await asyncio.open_connection(sock=connection)
            self.serving.append(asyncio.create_task(self.serve(reader, writer)))

    def cut_off(self):
        """Like a machine that is cut off: open connections stay open and silent; new ones never come up, as
        the queue of the listener is full after the first."""
        self.is_cut_off = True
        self.accepting.cancel()

    def set(self, entry):
        self.entries[entry["id"]] = entry
        self.changed_at[entry["id"]] = self.version

    def whole(self):
        return {"version": self.version, "full": True,
                "servers": [e for e in self.entries.values() if e["state"] != "Gone"]}

    async def serve(self, reader, writer):
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                target = line.split()[1].decode()
                query = dict(p.split("=") for p in target.split("?")[1].split("&")) if "?" in target else {}
                answer = self.whole()
                if "from" in query:
                    since = int(query["from"])
                    if self.version <= since:
                        try:
                            async with self.news:
                                await asyncio.wait_for(self.news.wait_for(lambda: self.version > since),
                                                       int(query["hold_ms"]) / 1000)
                        except asyncio.TimeoutError:
                            pass
                    answer = {"version": self.version, "full": False,
                              "servers": [e for i, e in self.entries.items() if self.changed_at[i] > since]}
                if self.is_cut_off:
                    return await asyncio.Event().wait()
                body = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % len(body) + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Node:
    """A storage node that holds one shard: runs commands in turn of arrival on two cores. While it hangs it
    takes commands and answers none."""

    def __init__(self, record, name, cell, work_s, value_bytes, zone="batiment-a"):
        self.record = record
        self.name = name
        self.cell = cell
        self.zone = zone
        self.work_s = work_s
        self.value_bytes = value_bytes
        self.hangs = False
        self.cores = asyncio.Semaphore(2)
        self.held = 0
        self.served_ms = work_s * 1000

    async def start(self, address="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, address, 0, limit=1 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def entry(self, state="Ready"):
        return {"id": self.name, "addr": self.address, "zone": self.zone, "kind": "small-2c", "cell": self.cell,
                "state": state, "weight": 1.0, "started_ms": 0}

    def value_of(self, piece):
        return (piece + b":" + self.name.encode() + b" ") * (self.value_bytes // (len(piece) + len(self.name) + 2))

    async def serve(self, reader, writer):
        try:
            while True:
                words = await read_command(reader)
                if words is None:
                    break
                request = words[2].decode()
                self.record.add("submit", node=self.name, id=request)
                self.held += 1
                async with self.cores:
                    if not self.hangs:
                        await asyncio.sleep(self.work_s)
                if self.hangs:
                    await reader.read()  # until the head gives up
                    self.held -= 1
                    break
                self.held -= 1
                load = b"inflight=%d,latency_ms=%d" % (self.held, self.served_ms)
                value = self.value_of(words[1]) if words[0] == b"BLK.READ" else b"done " + words[1]
                self.record.add("ran", node=self.name, id=request, bytes=len(value))
                writer.write(b"*3\r\n$%d\r\n%s\r\n$-1\r\n$%d\r\n%s\r\n" % (len(value), value, len(load), load))
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


def settings(heads, rank, shards, **more):
    """The settings of a small deployment, with the names and units of the operators' pages."""
    def io_class(name, goal, limit, worth, repeat="read_like"):
        return {"name": name, "objective-s": goal, "deadline-s": limit, "credit": worth, "late-worth": 0.2,
                "idempotency": repeat, "key-scope": "all", "memory-span-s": 5.0, "stream": False}

    def plan(name, nominal, reserve, factor):
        return {"name": name, "nominal": nominal, "reservation": reserve, "parts": 1.0, "worth-factor": factor,
                "cap": 0.0, "burst": 0.0, "slack": 0.0}

    conf = {"balancers": heads, "rank": rank, "family": "stores", "registry-mode": "push", "layer": 0,
            "tiers": ["roster-store"], "weights": "rough", "zone": "batiment-a",
            "localities": ["batiment-a", "batiment-b", "batiment-c"], "host-types": ["small-2c"],
            "resolution-s": 0.002, "clients": {"marks-retry": False},
            "classes": [io_class("shift-read", 0.3, 2.0, 2.0), io_class("signup-write", 0.6, 3.0, 2.0, "non_idempotent"),
                        io_class("roster-export", 2.0, 6.0, 1.0)],
            "plans": [plan("entraide", 60.0, 0.0, 0.8), plan("association", 120.0, 96.0, 0.9),
                      plan("federation", 150.0, 180.0, 1.4)],
            "family-info": {"beyond-share": 0.08, "cold-bears": 28.0, "meter-s": 0.5, "most-units": 6,
                            "shards": shards, "share-worth": 0.35, "tells-elsewhere": True, "usual-units": 2.08,
                            "writes": [False, True, False]},
            "limits": {"cancel": True, "conn-idle-s": 15.0, "connect-timeout-s": 0.25, "max-attempts": 3,
                       "max-open": 20000, "max-retry-after-s": 0.5, "may-duplicate": False,
                       "peer-messages": False, "probes": False, "retry-after": False, "streams-per-conn": 32,
                       "cpu-us-per-request": 0.0, "cpu-us-per-s": 300000},
            "report": {"fields": ["outstanding", "recent_ms"], "source": "piggyback"},
            "rules": {"answer-slack-s": 0.008, "ask-every-s": 10.0, "cold-from": 0.17, "drain-grace-s": 1.0,
                      "fall-multiple": 4.0, "overload-for-s": 3.0, "warm-within-s": 16.0}}
    conf.update(more)
    return conf
