"""Case 1: clients that keep many commands open on a connection, while two storage nodes of twelve hang.

A head has 32 MB. It gets 200 reads a second of 64 KiB each, in groups of 32 on one connection and of many
volumes. For ten seconds two nodes of twelve take commands and answer none. The platform ends the head if it
holds more memory than its limit. Without the disruption the same traffic is played to twelve sound nodes."""
import asyncio
import os
import random
import sys
import tempfile

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from stand_ins import CannotRun, Discovery, Head, Node, Record, command, free_port, read_answer, settings

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RATE = float(os.environ.get("RATE", "200"))      # requests a second
MEMORY_MB = int(os.environ.get("MEMORY_MB", "32"))
NODES = 12
HANGING = (4, 9)          # two of twelve
GROUP = 32               # commands that a client sends at once
VALUE_BYTES = 64 << 10   # the largest value that the protocol allows
PATIENCE_MS = 6000       # of a client, the hard limit of the class
CONNECTIONS = 80         # a third of the descriptors at most
LENGTH_S = 24
HANG_S = (6, 16)


class Case:
    def __init__(self, record):
        self.record = record
        self.random = random.Random(7)
        self.idle = []
        self.open = 0
        self.unanswered = {}
        self.counts = {"sent": 0, "value": 0, "busy": 0, "failed": 0, "closed": 0, "turned_away": 0}
        self.largest = 0
        self.killed_at = None
        self.lost = 0

    def export(self):
        r = self.random
        request = "%016x" % r.getrandbits(64)
        shard = r.randrange(NODES)
        volume = "%016x" % (0xb4d60000 + shard * 8 + r.randrange(8))
        fields = "c=roster-export,t=%s,d=%d,volume=%s,units=2,shard=%d,hosts=3" % (
            r.choice(["entraide", "association", "federation"]), PATIENCE_MS, volume, shard)
        return request, shard, command("BLK.READ", "%016x" % r.getrandbits(64), request, fields)

    async def group(self, head):
        if self.idle:
            reader, writer = self.idle.pop()
        else:
            if self.open >= CONNECTIONS:
                self.counts["turned_away"] += GROUP
                return
            self.open += 1
            try:
                reader, writer = await asyncio.open_connection(*head.address, limit=1 << 20)
            except OSError:
                self.open -= 1
                return
        requests = [self.export() for _ in range(GROUP)]
        writer.write(b"".join(c for _, _, c in requests))
        for request, shard, _ in requests:
            self.counts["sent"] += 1
            self.unanswered[request] = self.record.now()
            self.record.add("sent", id=request, shard=shard)
        for request, _, _ in requests:
            kind, _ = await read_answer(reader)
            self.counts[kind] += 1
            if kind == "closed":
                self.open -= 1
                writer.close()
                return
            del self.unanswered[request]
            self.record.add("answered", id=request, kind=kind)
        self.idle.append((reader, writer))

    async def watch_memory(self, head):
        while True:
            now = head.resident_bytes()
            self.largest = max(self.largest, now)
            if head.process.poll() is not None:
                raise CannotRun("the head ended by itself")
            if now > MEMORY_MB << 20:
                self.killed_at = self.record.now()
                self.lost = len(self.unanswered)
                self.record.add("platform ends the head", resident_bytes=now, limit_bytes=MEMORY_MB << 20,
                                unanswered=self.lost)
                head.process.kill()
                return
            await asyncio.sleep(0.02)

    async def play(self, folder):
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)  # of tasks cut off at the end
        discovery = Discovery(self.record)
        nodes = [Node(self.record, "s-%08x" % (0x5be2a000 + i), i, 0.02, VALUE_BYTES) for i in range(NODES)]
        for node in nodes:
            await node.start()
            discovery.set(node.entry())
        await discovery.start()
        head = Head(folder, {
            "name": "n0", "listen": "127.0.0.1:%d" % free_port(), "discovery": discovery.address,
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 256},
            "known": discovery.whole(), "settings": settings(3, 0, NODES)})
        head.start()
        tasks = []
        try:
            await head.wait_ready()
            watcher = asyncio.create_task(self.watch_memory(head))
            began = self.record.now()
            due = began
            hung = False
            while self.record.now() < began + LENGTH_S and not watcher.done():
                hang_now = TROUBLE and HANG_S[0] <= self.record.now() - began < HANG_S[1]
                if hang_now != hung:
                    hung = hang_now
                    for i in HANGING:
                        nodes[i].hangs = hung
                        self.record.add("node hangs" if hung else "node answers again", node=nodes[i].name)
                while due <= self.record.now():
                    tasks.append(asyncio.create_task(self.group(head)))
                    due += GROUP / RATE
                await asyncio.sleep(0.005)
            if not watcher.done():
                await asyncio.wait(tasks, timeout=PATIENCE_MS / 1000 + 1)
            watcher_done = watcher.done()
            watcher.cancel()
            if watcher_done and not watcher.cancelled() and watcher.exception():
                raise watcher.exception()
        finally:
            head.end()
        for task in tasks:
            task.cancel()


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    case = Case(record)
    try:
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(case.play(folder))
        if case.counts["value"] < 1000:
            raise CannotRun("too little was served: %s" % case.counts)
        broken = case.killed_at is not None
        print("largest memory %.1f MB of %d MB; %s" % (case.largest / (1 << 20), MEMORY_MB, case.counts))
        if broken:
            print("the head held more memory than its limit and was ended with %d requests unanswered" % case.lost)
        record.add("verdict", broken=broken, largest_bytes=case.largest, counts=case.counts, lost=case.lost)
        return 1 if broken else 0
    except (CannotRun, OSError) as e:
        print("the case could not be played: %s" % e)
        return 2
    finally:
        record.close()


sys.exit(main())
