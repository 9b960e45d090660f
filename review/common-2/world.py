"""Stand-ins for cases with a script: the platform's store and promotion API, one replicated service,
and requesters. They run on one event loop, so the judge sees all of their events in one order.

Every machine reaches the store and each backend at addresses of its own, so that a case can cut one
machine from one backend. All addresses are loopback addresses.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "tamarackbend-platformd")


def now():
    return time.monotonic()


class Record:
    """Writes `record.txt`: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = now()

    def __call__(self, *words):
        self.file.write(f"{now() - self.start:9.4f} " + " ".join(str(word) for word in words) + "\n")

    def say(self, *words):
        self(*words)
        self.file.flush()
        print(*words, flush=True)


# The store ---------------------------------------------------------------------------------------


class Store:
    """Objects by kind and name, with one revision counter and the history of changes."""

    DELAY_S = 0.004

    def __init__(self):
        self.revision = 100
        self.kinds = {}
        self.history = []
        self.changed = asyncio.Event()

    def note(self, kind, item, deleted):
        self.history.append((self.revision, kind, {"object": item, "deleted": deleted}))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def put(self, kind, name, spec):
        items = self.kinds.setdefault(kind, {})
        old = items.get(name)
        if old is not None and old["spec"] == spec:
            return old
        self.revision += 1
        created = old["meta"]["createdRev"] if old else self.revision
        meta = {"name": name, "revision": self.revision, "createdRev": created, "finalizers": [],
                "deleting": False}
        items[name] = {"meta": meta, "spec": spec, "status": None}
        self.note(kind, items[name], False)
        return items[name]

    def remove(self, kind, name):
        item = self.kinds.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            self.note(kind, item, True)

    async def call(self, method, target, body, localize):
        await asyncio.sleep(self.DELAY_S)
        url = urlsplit(target)
        words = [unquote(word) for word in url.path.split("/")[3:]]
        query = {key: values[-1] for key, values in parse_qs(url.query).items()}
        kind = words[0]
        items = self.kinds.setdefault(kind, {})
        if method == "GET" and len(words) == 2:
            item = items.get(words[1])
            return (200, localize(item)) if item else (404, None)
        if method == "GET" and "watch" in query:
            revision = int(query["watch"])
            end = now() + int(query.get("waitMs", 0)) / 1000
            while True:
                events = [dict(event, object=localize(event["object"]))
                          for at, of, event in self.history if at > revision and of == kind]
                if events or now() >= end:
                    await asyncio.sleep(self.DELAY_S)
                    return 200, {"events": events, "currentRev": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), max(end - now(), 0.001))
                except asyncio.TimeoutError:
                    pass
        if method == "GET":
            names = sorted(name for name in items if name > query.get("after", ""))
            page = [localize(items[name]) for name in names[:500]]
            return 200, {"items": page, "hasMore": len(names) > 500, "currentRev": self.revision}
        if method == "POST":
            name = body["meta"]["name"]
            if name in items:
                return 409, items[name]
            return 201, self.put(kind, name, body["spec"])
        if method == "PUT" and len(words) == 2:
            item = items.get(words[1])
            if item is None:
                return 404, None
            expected = body["meta"].get("revision", query.get("revision"))
            if expected is not None and int(expected) != item["meta"]["revision"]:
                return 409, item
            return 200, self.put(kind, words[1], body["spec"])
        if method == "DELETE" and len(words) == 2:
            self.remove(kind, words[1])
            return 200, None
        return 400, None


async def serve_http(host, handle):
    """Serves HTTP/1.1 with JSON bodies; `handle` returns a status and a body, or None for silence."""

    async def serve(reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ", 2)
                headers = {}
                for line in head[1:]:
                    if ":" in line:
                        key, value = line.split(":", 1)
                        headers[key.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                answer = await handle(method, target, headers, json.loads(body) if body else None)
                if answer is None:
                    await asyncio.sleep(3600)
                status, value = answer
                text = json.dumps(value).encode()
                writer.write(f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
                if headers.get("connection") == "close":
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, host, 0)
    return server, server.sockets[0].getsockname()


# The service -------------------------------------------------------------------------------------


class Backend:
    """One copy of the database."""

    def __init__(self, world, name, role, zone):
        self.world, self.name, self.role, self.zone = world, name, role, zone
        self.term, self.held, self.up, self.state = 3, 0, True, "ready"
        self.log = [(3, 1200, None)]  # term, number, id of the commit
        self.applied, self.apply_at = 1, []
        self.reached_since, self.leads_since, self.lag_s = None, 0.0, world.lag_s
        self.slots = asyncio.Semaphore(world.slots)
        self.busy, self.queued, self.connections = 0, 0, set()
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.servers = {}

    def position(self, count):
        term, number, _ = self.log[count - 1]
        return f"{term}.{number}"

    def has(self, position):
        term, number = (int(word) for word in position.split("."))
        last_term, last_number, _ = self.log[self.applied - 1]
        if last_number < number:
            return False
        return last_term >= term and any(e[1] == number and e[0] == term for e in self.log)

    def stop(self):
        """The process crashes: its connections are reset, its log stays."""
        self.up = False
        for writer in list(self.connections):
            writer.transport.abort()
        self.connections.clear()

    def start(self):
        """The process starts again. A pause is forgotten; the log is there."""
        self.up, self.held, self.born = True, 0, int(time.time() * 1000)
        if any(other.term > self.term for other in self.world.backends):
            self.role = "replica"
        self.applied = len(self.log)
        self.world.check_in(self)

    def status(self):
        lag = 0 if self.role == "primary" else 12
        return (f"{self.role} {self.term} {self.position(len(self.log))} {self.held} {lag} "
                f"{self.busy} {len(self.connections)}")

    async def listen(self, machine):
        async def serve(reader, writer):
            if not self.up:
                writer.transport.abort()
                return
            self.connections.add(writer)
            try:
                await self.serve(machine, reader, writer)
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            finally:
                self.connections.discard(writer)
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.servers[machine] = server.sockets[0].getsockname()

    async def serve(self, machine, reader, writer):
        cut = self.world.cuts
        line = (await reader.readuntil(b"\r\n"))[:-2].decode()
        while (machine, self.name) in cut:
            await asyncio.sleep(0.05)
        delay = self.world.delay_s(self.world.machines[machine]["zone"], self.zone)
        await asyncio.sleep(2 * delay)
        words = line.split(" ")
        if words[1] != self.world.service or (len(words) > 3 and words[3] != self.name):
            writer.write(b"ERROR MISROUTED -\r\n")
            return
        await asyncio.sleep(0.012)
        answers = asyncio.Queue()
        writing = asyncio.create_task(self.write_late(machine, answers, writer, delay))
        try:
            await self.answer(machine, reader, writer, answers, delay)
        finally:
            writing.cancel()

    async def write_late(self, machine, answers, writer, delay):
        """Writes answers one way to the machine later, in order."""
        while True:
            due_at, text = await answers.get()
            await asyncio.sleep(max(0.0, due_at + delay - now()))
            # Bytes of a cut link are held up, in both directions.
            while (machine, self.name) in self.world.cuts:
                await asyncio.sleep(0.05)
            writer.write(text)

    async def answer(self, machine, reader, writer, answers, delay):
        session = {"tx": None, "values": {}, "prepared": {}}
        writer.write(f"READY I {self.position(self.applied)}\r\n".encode())
        while True:
            line = (await reader.readuntil(b"\r\n"))[:-2].decode()
            received_at = now()
            while (machine, self.name) in self.world.cuts:
                await asyncio.sleep(0.05)
            await asyncio.sleep(max(0.0, received_at + delay - now()))
            if line == "BYE":
                return
            _, request, text = line.split(" ", 2)
            answer = await self.run(machine, session, request, text)
            tx = session["tx"]
            state = "I" if tx is None else "E" if tx["failed"] else "T"
            answer.append(f"READY {state} {self.position(self.applied)}")
            answers.put_nowait((now(), "".join(part + "\r\n" for part in answer).encode()))

    async def run(self, machine, session, request, text):
        def error(code):
            if session["tx"]:
                session["tx"]["failed"] = True
            return [f"ERROR {code} {self.name}"]

        if text == "ROLLBACK":
            session["tx"] = None
            return ["COMPLETE -"]
        if session["tx"] and session["tx"]["failed"]:
            if text == "COMMIT":
                session["tx"] = None
                return [f"ERROR ABORTED {self.name}"]
            return error("MALFORMED")
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            if not self.has(position):
                return error("LAGGING")
        verb, _, rest = text.partition(" ")
        if verb == "BEGIN":
            if not rest and self.role != "primary":
                return error("READONLY")
            session["tx"] = {"read": bool(rest), "failed": False, "writes": [], "term": self.term}
            return ["COMPLETE -"]
        if verb == "STATUS":
            async with self.slots:
                await asyncio.sleep(0.001)
            return ["ROW " + self.status(), "COMPLETE -"]
        if verb in ("PAUSE", "RESUME", "DEMOTE"):
            self.world.record("order", machine, self.name, text)
            if verb == "PAUSE" and int(rest) > self.term and self.role == "replica":
                self.held = max(self.held, int(rest))
                self.world.paused.set()
            if verb == "RESUME":
                self.held = 0
            if verb == "DEMOTE" and self.role == "primary" and int(rest) > self.term:
                self.role = "replica"
                self.world.check_in(self)
            return ["ROW " + self.status(), "COMPLETE -"]
        if verb == "RESET":
            session["values"], session["prepared"] = {}, {}
            return ["COMPLETE -"]
        if verb == "SET":
            name, _, value = rest.partition(" ")
            session["values"][name] = value
            return ["COMPLETE -"]
        if verb == "PREPARE":
            name, _, shape = rest.partition(" ")
            session["prepared"][name] = shape
            return ["COMPLETE -"]
        if verb == "CLOSE":
            session["prepared"].pop(rest, None)
            return ["COMPLETE -"]
        is_write = verb == "WRITE"
        if verb == "EXEC":
            name, _, rest = rest.partition(" ")
            if name not in session["prepared"]:
                return error("NOSTMT")
            is_write = session["prepared"][name].startswith("WRITE")
        tx = session["tx"]
        if self.queued >= 40:
            return error("BUSY")
        self.queued += 1
        async with self.slots:
            self.queued -= 1
            self.busy += 1
            is_read = verb == "READ" or (verb == "EXEC" and not is_write)
            work_s = self.world.read_work_s if is_read else self.world.work_s
            await asyncio.sleep(random.uniform(0.5, 1.5) * work_s)
            self.busy -= 1
        if not self.up:
            raise ConnectionError
        lost_lead = self.role != "primary" or (tx and tx["term"] != self.term)
        if tx and not tx["read"] and lost_lead and not (verb == "COMMIT" and not tx["writes"]):
            return error("READONLY")
        if is_write and lost_lead:
            return error("READONLY")
        receipt = f"COMPLETE {self.term}.{request}.{self.name}.{random.getrandbits(32):08x}"
        if verb == "READ" or (verb == "EXEC" and not is_write):
            self.world.on_read(self, request, machine)
            return ["ROW value", receipt]
        if is_write and tx:
            tx["writes"].append(request)
            return [receipt]
        if verb == "COMMIT" and not tx["writes"]:
            session["tx"] = None
            return [receipt]
        session["tx"] = None
        self.log.append((self.term, self.log[-1][1] + 1, request))
        self.applied = len(self.log)
        newer = [b.name for b in self.world.backends if b.role == "primary" and b.term > self.term]
        self.world.record("commit", request, "at", self.name, self.position(self.applied),
                          "sent by", machine, *(["while", newer[0], "leads"] if newer else []))
        if newer:
            self.world.late_commits[request] = (self.name, newer[0], machine, now())
        return [receipt]

    def follow(self, primary):
        if primary.term < self.term or self.held > primary.term:
            return
        if primary.term > self.term:
            same = 0
            while same < min(len(self.log), len(primary.log)) and self.log[same] == primary.log[same]:
                same += 1
            del self.log[same:]
            self.applied = min(self.applied, same)
            self.apply_at = []
            self.term, self.held = primary.term, 0
            if self.role == "primary":
                self.role = "replica"
                self.world.check_in(self)
        if len(primary.log) > len(self.log):
            self.log += primary.log[len(self.log):]
            self.apply_at.append((now() + self.world.lag_s, len(self.log)))
        while self.apply_at and self.apply_at[0][0] <= now():
            self.applied = max(self.applied, min(self.apply_at.pop(0)[1], len(self.log)))


class World:
    """The platform, the service and the machines of one case."""

    def __init__(self, folder, service="svc-leases", lag_s=0.02, zones=("zone-a", "zone-b", "zone-c")):
        self.folder, self.service, self.lag_s, self.zones = folder, service, lag_s, list(zones)
        self.record = Record(folder)
        self.temporary = tempfile.mkdtemp(prefix="tamarackbend-case-")
        self.store = Store()
        self.cuts = set()
        self.backends = []
        self.machines = {}
        self.requests = {}
        self.slots, self.work_s, self.read_work_s = 5, 0.004, 0.004
        self.late_commits = {}  # commits at a backend while another led a later term
        self.acknowledged = []
        self.lost_by_promotion = set()
        self.findings = []
        self.tokens = []
        self.pending_promotion = None
        self.paused = asyncio.Event()
        self.tasks = []

    async def start(self):
        roles = ["primary", "replica", "replica"]
        for name, role, zone in zip(("i-one", "i-two", "i-three"), roles, self.zones):
            self.backends.append(Backend(self, name, role, zone))
        for backend in self.backends:
            self.check_in(backend)
        self.configure(7)
        self.tasks.append(asyncio.create_task(self.replicate()))
        self.tasks.append(asyncio.create_task(self.check_in_regularly()))

    def configure(self, version):
        routes = [
            {"name": "r-" + host, "host": host, "pathPrefix": "/", "routeType": kind, "service": self.service,
             "timeoutMs": timeout, "latencyTargetMs": 400, "priority": 1, "maxStalenessMs": 1500}
            for host, kind, timeout in (("db-latest", "primary", 1000), ("db-aged", "bounded_staleness", 3000),
                                        ("db-own", "read_your_writes", 1000))]
        self.store.put("config", "main", {
            "version": version, "routes": routes,
            "services": [{"name": self.service, "maxConns": 76, "syncReplicas": 0}],
            "limits": {"txIdleMs": 3000}})

    def check_in(self, backend):
        backend.seq += 1
        self.store.put("servers", backend.name, {
            "service": self.service, "address": backend.name, "zone": backend.zone, "version": "1.0",
            "slots": 5, "state": backend.state, "coldRemainingMs": 0, "seq": backend.seq,
            "dbRole": backend.role, "born": backend.born})

    async def check_in_regularly(self):
        while True:
            await asyncio.sleep(1.2)
            for backend in self.backends:
                if backend.up:
                    self.check_in(backend)

    def delay_s(self, a, b):
        """Delay between two zones, one way; every zone is a region of its own."""
        return 0.0001 if a == b else 0.008

    def reaches(self, a, b):
        return (a.name, b.name) not in self.cuts and (b.name, a.name) not in self.cuts

    async def replicate(self):
        while True:
            await asyncio.sleep(0.004)
            for backend in self.backends:
                if not backend.up:
                    continue
                # A backend hears of a new primary as it hears of commits, about `lag_s` behind.
                leads = [other for other in self.backends if other is not backend and other.up
                         and other.role == "primary" and self.reaches(backend, other)
                         and now() >= other.leads_since + backend.lag_s]
                if not leads:
                    backend.reached_since = None
                    continue
                lead = max(leads, key=lambda other: other.term)
                if backend.role == "primary":
                    if lead.term <= backend.term:
                        continue
                    if backend.reached_since is None:
                        backend.reached_since = now()
                    # The old primary goes on for a second after it can reach the new one.
                    if now() < backend.reached_since + 1.0:
                        continue
                backend.follow(lead)

    async def promote(self, machine, headers, body):
        holder, token = headers.get("lease-holder"), int(headers.get("fencing-token", 0))
        self.record("promote", body, "from", holder, "token", token)
        if self.tokens and token < max(seen for seen, _ in self.tokens):
            self.findings.append(f"ONE {holder} promoted with {token} after {max(self.tokens)}")
        for seen, other in self.tokens:
            if seen == token and other != holder:
                self.findings.append(f"ONE {holder} and {other} promoted with {token}")
        self.tokens.append((token, holder))
        target = next((b for b in self.backends if b.name == body["id"]), None)
        await asyncio.sleep(0.004)
        if target is None or not target.up:
            return 409, None
        newest = max(self.backends, key=lambda b: b.term)
        if target.role == "primary" and target is newest:
            return 200, None
        if self.pending_promotion is None:
            self.pending_promotion = asyncio.create_task(self.carry_out(target))
        return 200, None

    async def carry_out(self, target):
        await asyncio.sleep(0.3)
        self.pending_promotion = None
        if not target.up:
            return
        kept = {entry[2] for entry in target.log}
        for request, _ in self.acknowledged:
            if request not in kept:
                self.lost_by_promotion.add(request)
        for backend in self.backends:
            self.lost_by_promotion |= {e[2] for e in backend.log if e[2] not in kept}
        target.term = max(b.term for b in self.backends) + 1
        target.role, target.applied, target.leads_since = "primary", len(target.log), now()
        # A promote ends the pause of a replica.
        for backend in self.backends:
            backend.held = 0
        self.record.say("promoted", target.name, "term", target.term, "log ends at",
                        target.position(len(target.log)))
        # The change is reported at once: one way to the store, and the time of a call.
        await asyncio.sleep(0.008 + Store.DELAY_S)
        self.check_in(target)

    # What requesters and backends see -------------------------------------------------------------

    def on_sent(self, request, route):
        self.requests[request] = (now(), route)

    def on_commit_acknowledged(self, request):
        self.acknowledged.append((request, now()))
        if request in self.late_commits:
            self.findings.append(("ONE", request) + self.late_commits[request])

    def on_read(self, backend, request, machine):
        sent = self.requests.get(request)
        if sent is None or sent[1] != "db-latest":
            return
        seen = {entry[2] for entry in backend.log[:backend.applied]}
        missing = [commit for commit, at in self.acknowledged if at < sent[0] and commit not in seen]
        self.record("read", request, "at", backend.name, "term", backend.term,
                    "log", backend.position(backend.applied), "sent by", machine, "lacks", len(missing))
        if missing:
            self.findings.append(("STALE", request, backend.name, machine, now() - self.record.start,
                                  missing))

    def stale_reads(self):
        reads = []
        for finding in self.findings:
            if finding[0] == "STALE":
                missing = [c for c in finding[5] if c not in self.lost_by_promotion]
                if missing:
                    reads.append(finding[:5] + (missing,))
        return reads

    # Machines -------------------------------------------------------------------------------------

    async def add_machine(self, name, zone, ip, bootstrap):
        def localize(item):
            address = item["spec"].get("address") if isinstance(item["spec"], dict) else None
            backend = next((b for b in self.backends if b.name == address), None)
            if backend is None:
                return item
            host, port = backend.servers[name]
            return dict(item, spec=dict(item["spec"], address=f"{host}:{port}"))

        async def handle_store(method, target, headers, body):
            while (name, "store") in self.cuts:
                await asyncio.sleep(0.05)
            # The store stands in the last zone.
            delay = self.delay_s(zone, self.zones[-1])
            await asyncio.sleep(delay)
            answer = await self.store.call(method, target, body, localize)
            await asyncio.sleep(delay)
            if method != "GET":
                self.record("store", name, method, target, json.dumps(body), "->", answer[0])
            return answer

        async def handle_cloud(method, target, headers, body):
            while (name, "store") in self.cuts:
                await asyncio.sleep(0.05)
            return await self.promote(name, headers, body)

        for backend in self.backends:
            await backend.listen(name)
        _, store = await serve_http("127.0.0.1", handle_store)
        _, cloud = await serve_http("127.0.0.1", handle_cloud)
        ports = free_ports(ip, 4)
        zones = {zone: "region-" + zone[-1] for zone in self.zones}
        settings = {
            "node": name, "role": "entry", "machineClass": "front", "serves": ["front"], "ip": ip,
            "zone": zone, "region": zones[zone], "zones": zones,
            "listen": {"front": f"{ip}:{ports[0]}", "ready": f"{ip}:{ports[1]}"},
            "internalPorts": [ports[2], ports[3]], "seeds": [], "bootstrap": bootstrap,
            "lossCounts": False,
            "limits": {"cpuShare": 0.17, "cores": 1, "memoryMb": 182, "maxFds": 2940,
                       "linkMbps": 700.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "recover", "sql", "platform"],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {"seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 4000, "ackMs": 5000,
                       "catchUpS": 4, "drainMs": 7000, "graceS": 6, "lossSlackMs": 200,
                       "configApplyMs": 3000, "downgradeSlackMs": 250, "skewMaxMs": 12000,
                       "recoveryS": 12, "checksFence": False, "thawSlackMs": 300},
            "platform": {"address": "%s:%d" % store, "form": "objects", "writesPerS": 400,
                         "readsPerS": 2000, "historyS": 20, "maxValueBytes": 1048576,
                         "minTtlMs": 1000},
            "cloudApi": {"address": "%s:%d" % cloud, "ratePerS": 50.0, "duties": ["promotion"],
                         "dutyPerS": 50.0},
        }
        self.machines[name] = {"name": name, "zone": zone, "settings": settings, "front": (ip, ports[0]),
                               "ready": (ip, ports[1]), "process": None, "in_rotation": False,
                               "misses": 0}
        self.start_machine(name, bootstrap)

    def start_machine(self, name, bootstrap=False):
        machine = self.machines[name]
        machine["settings"]["bootstrap"] = bootstrap
        path = os.path.join(self.temporary, name + ".yaml")
        with open(path, "w") as file:
            json.dump(machine["settings"], file)  # JSON is valid YAML.
        log = open(os.path.join(self.temporary, name + ".log"), "a")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        machine["process"] = subprocess.Popen(
            [PROGRAM], cwd=ROOT, env=dict(environment, TAMARACKBEND_CONFIG=path),
            stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.record("start", name, "pid", machine["process"].pid)

    def signal_machine(self, name, number):
        self.record("signal", name, signal.Signals(number).name)
        self.machines[name]["process"].send_signal(number)

    def remove_machine(self, name):
        """Forgets a machine that was removed for good, once its process has ended."""
        machine = self.machines.pop(name)
        machine["process"].kill()
        machine["process"].wait()
        self.record("removed", name)

    def stop_all(self):
        for machine in self.machines.values():
            if machine["process"]:
                machine["process"].kill()
        for machine in self.machines.values():
            if machine["process"]:
                machine["process"].wait()
        if os.environ.get("KEEP"):
            print("logs of the machines:", self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)

    async def probe_machines(self):
        """The platform's balancer: two misses take a machine out of the rotation."""
        async def probe(machine):
            try:
                status = await asyncio.wait_for(get_status(machine["ready"]), 0.9)
            except (OSError, asyncio.TimeoutError, ValueError, IndexError):
                status = None
            if status == 200:
                machine["misses"], machine["in_rotation"] = 0, True
            else:
                machine["misses"] += 1
                if machine["misses"] >= 2:
                    machine["in_rotation"] = False

        while True:
            await asyncio.gather(*(probe(machine) for machine in list(self.machines.values())))
            await asyncio.sleep(1.0)

    def choose_machine(self, zone, salt):
        """New connections go to a machine of the zone in rotation; to all if half of them are out."""
        own = [m for m in self.machines.values() if m["zone"] == zone]
        usable = [m for m in own if m["in_rotation"]]
        if len(usable) * 2 < len(own):
            usable = own
        return random.Random(salt).choice(usable) if usable else None


async def get_status(address):
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
        return int((await reader.readline()).split()[1])
    finally:
        writer.close()


def free_ports(ip, count):
    """Returns consecutive free ports below the range of outgoing connections."""
    for _ in range(2000):
        first = random.randrange(12000, 30000)
        try:
            for port in range(first, first + count):
                with socket.socket() as probe:
                    probe.bind((ip, port))
            return list(range(first, first + count))
        except OSError:
            continue
    raise OSError("no free ports")


# Requesters --------------------------------------------------------------------------------------


class Session:
    """A requester's session, one statement at a time."""

    def __init__(self, world, machine):
        self.world, self.machine = world, machine

    async def open(self, database):
        self.database = database
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(*self.machine["front"]), 2.0)
        self.writer.write(f"STARTUP {database} u{random.getrandbits(16):x}\r\n".encode())
        line = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 2.0)
        if not line.startswith(b"READY"):
            raise ConnectionError(line.decode().strip())

    async def run(self, text, limit_s):
        """Returns the outcome, COMPLETE or ERROR with its fields."""
        request = f"{random.getrandbits(64):016x}"
        self.world.on_sent(request, self.database)
        self.world.record("sent", request, "to", self.machine["name"], self.database, text)
        self.writer.write(f"QUERY {request} {text}\r\n".encode())
        outcome = None
        while True:
            line = (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), limit_s))[:-2].decode()
            if line.startswith("READY"):
                self.world.record("answered", request, outcome)
                if text.startswith(("WRITE", "COMMIT")) and outcome.startswith("COMPLETE"):
                    self.world.on_commit_acknowledged(request)
                return outcome
            if not line.startswith("ROW"):
                outcome = line

    def close(self):
        try:
            self.writer.close()
        except AttributeError:
            pass


def run_case(folder, play, zones, rule):
    """Plays a case; returns its exit code: 1 if the rule was broken, 0 if it held, 2 if it could not run."""

    async def main():
        world = World(folder, zones=zones)
        try:
            result = await play(world, os.environ.get("TROUBLE", "1") != "0")
            for task in world.tasks:
                if task.done():
                    task.result()
            world.record.say(rule, {0: "held", 1: "was broken", 2: "could not be judged"}[result])
            return result
        finally:
            world.stop_all()

    try:
        return asyncio.run(main())
    except Exception as error:  # An error of the case itself says nothing about the rule.
        print("the case could not run:", repr(error), flush=True)
        return 2
