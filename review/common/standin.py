"""Stand-ins for the platform, backends, nodes and clients of the review's scripts.

Only the standard library is used. All servers listen on 127.0.0.1 on free ports. Every message is
framed by CR LF, as PROTOCOL.md says. The stand-ins are sound unless a script asks for a disruption.
"""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "tamarackbend-platformd")
HOST = "127.0.0.1"
WORK_S = 0.01
PROMOTE_S = 0.3
REPLICA_LAG_S = 0.02
next_port = 20000 + (os.getpid() * 37) % 8000


class Record:
    """Log of what was sent, answered and run; written to record.txt at the end."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.started = time.monotonic()
        self.lines = []

    def add(self, text):
        self.lines.append(f"{time.monotonic() - self.started:9.4f} {text}")

    def write(self):
        with open(self.path, "w") as file:
            file.write("\n".join(self.lines) + "\n")


def free_port_block(count):
    """Returns the first of `count` consecutive ports that are free now and were not returned before."""
    global next_port
    for start in range(next_port, 32000, count):
        next_port = start + count
        sockets = []
        try:
            for port in range(start, start + count):
                probe = socket.socket()
                sockets.append(probe)
                probe.bind((HOST, port))
            return start
        except OSError:
            continue
        finally:
            for probe in sockets:
                probe.close()
    raise RuntimeError("no free ports")


async def read_line(reader):
    """Reads one message, without its CR LF; None at the end of the stream."""
    try:
        return (await reader.readuntil(b"\r\n"))[:-2].decode("utf-8", "replace")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


class Backend:
    """Backend of a database: a log, a role and a term."""

    def __init__(self, service, name, role):
        self.service, self.name, self.role = service, name, role
        self.term, self.held = 1, 0
        self.log = []  # (term, number, {item: data})
        self.applied = 0  # entries that reads see
        self.up = True
        self.draining = False
        self.port = None
        self.writers = set()
        self.born = int(time.time() * 1000)

    def position(self, count=None):
        log = self.log[: self.applied if count is None else count]
        return (log[-1][0], log[-1][1]) if log else (1, 0)

    def received(self):
        return self.position(len(self.log))

    def value(self, item):
        for _, _, writes in reversed(self.log[: self.applied]):
            if item in writes:
                return writes[item]
        return "none"


def text_position(position):
    return f"{position[0]}.{position[1]}"


class Platform:
    """Metadata store, promotion API and backends."""

    def __init__(self, record, services=("leases",), zone="a"):
        self.record, self.zone = record, zone
        self.objects, self.changes, self.revision = {}, [], 1
        self.changed = asyncio.Event()
        self.backends = {}
        self.runs = []  # (id, text, who, backend name, is committed)
        self.promotions = []  # (token, holder, backend name)
        self.on_write = None  # called with (kind, name, spec) after each write of a node
        self.version = 0
        self.receipt = 0
        self.records_runs = True
        for service in services:
            members = [Backend(service, f"i-{service}-{i}", "primary" if i == 0 else "replica") for i in range(3)]
            for backend in members:
                self.backends[backend.name] = backend

    async def start(self):
        for backend in self.backends.values():
            server = await asyncio.start_server(
                lambda r, w, b=backend: self.serve_backend(b, r, w), HOST, 0, limit=4 << 20
            )
            backend.port = server.sockets[0].getsockname()[1]
            self.check_in(backend)
        server = await asyncio.start_server(self.serve_http, HOST, 0, limit=4 << 20)
        self.port = server.sockets[0].getsockname()[1]
        asyncio.ensure_future(self.replicate())
        return self

    # Store

    def put(self, kind, name, spec):
        key = (kind, name)
        existing = self.objects.get(key)
        if existing and existing["spec"] == spec:
            return existing
        self.revision += 1
        created = existing["meta"]["createdRev"] if existing else self.revision
        meta = {"name": name, "revision": self.revision, "createdRev": created, "finalizers": [], "deleting": False}
        self.objects[key] = {"meta": meta, "spec": spec, "status": None}
        self.note_change(kind, self.objects[key], False)
        return self.objects[key]

    def remove(self, kind, name):
        existing = self.objects.pop((kind, name), None)
        if existing:
            self.revision += 1
            self.note_change(kind, existing, True)

    def note_change(self, kind, item, deleted):
        self.changes.append((self.revision, kind, {"object": item, "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    def check_in(self, backend):
        spec = {
            "service": backend.service, "address": f"{HOST}:{backend.port}", "zone": self.zone,
            "version": "v1", "slots": 5, "state": "draining" if backend.draining else "ready",
            "coldRemainingMs": 0, "seq": 1, "dbRole": backend.role, "born": backend.born,
        }
        self.put("servers", backend.name, spec)

    def configure(self, routes, tenants=None):
        """Writes the next version of the configuration; `routes` are (host, type, service)."""
        self.version += 3
        services = sorted({service for _, _, service in routes})
        spec = {
            "version": self.version,
            "routes": [
                {"name": f"r-{host}", "host": host, "routeType": kind, "timeoutMs": 2000, "latencyTargetMs": 500,
                 "priority": 1, "service": service, "maxStalenessMs": 1500, "pathPrefix": "/"}
                for host, kind, service in routes
            ],
            "services": [{"name": service, "maxConns": 76, "syncReplicas": 0} for service in services],
            "limits": {"txIdleMs": 3000},
        }
        if tenants is not None:
            spec["tenants"] = tenants
        self.put("config", "main", spec)

    async def serve_http(self, reader, writer):
        try:
            while True:
                head = await read_line(reader)
                if not head:
                    break
                method, target, _ = head.split(" ")
                headers = {}
                while line := await read_line(reader):
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", 0))
                body = json.loads(await reader.readexactly(length)) if length else None
                status, answer = await self.handle(method, target, headers, body)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        writer.close()

    async def handle(self, method, target, headers, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = url.path.strip("/").split("/")
        if url.path == "/promote":
            return self.promote(headers, body)
        kind = parts[2]
        name = parts[3] if len(parts) > 3 else None
        if method == "GET" and name:
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, None)
        if method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("waitMs", 0)))
        if method == "GET":
            items = [item for (k, _), item in sorted(self.objects.items()) if k == kind]
            return 200, {"items": items, "hasMore": False, "currentRev": self.revision}
        if method == "POST":
            name = body["meta"]["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[(kind, name)]
        else:
            existing = self.objects.get((kind, name))
            if existing is None:
                return 404, None
            expected = (body.get("meta") or {}).get("revision")
            if expected is not None and expected != existing["meta"]["revision"]:
                return 409, existing
        stored = self.put(kind, name, body["spec"])
        if self.on_write:
            self.on_write(kind, name, body["spec"])
        return 200, stored

    async def watch(self, kind, revision, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            events = [event for at, k, event in self.changes if at > revision and k == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    # Promotion

    def promote(self, headers, body):
        token, holder = int(headers["fencing-token"]), headers["lease-holder"]
        target = self.backends[body["id"]]
        self.promotions.append((token, holder, target.name))
        self.record.add(f"platform received promote {target.name} from {holder} with Fencing-Token {token}")
        if not target.up:
            return 409, None
        if target.role != "primary":
            asyncio.get_running_loop().call_later(PROMOTE_S, self.take_over, target)
        return 200, {}

    def take_over(self, target):
        if not target.up or target.role == "primary":
            return
        peers = [b for b in self.backends.values() if b.service == target.service]
        target.term = max(b.term for b in peers) + 1
        target.role, target.held = "primary", 0
        target.applied = len(target.log)
        for backend in peers:
            if backend is not target:
                backend.held = 0
        self.record.add(f"{target.name} leads term {target.term}")
        self.check_in(target)

    async def replicate(self):
        while True:
            await asyncio.sleep(0.005)
            for backend in self.backends.values():
                peers = [b for b in self.backends.values() if b.service == backend.service]
                leaders = [b for b in peers if b.up and b.role == "primary"]
                if not leaders or not backend.up:
                    continue
                leader = max(leaders, key=lambda b: b.term)
                if backend is leader:
                    continue
                if backend.role == "primary":
                    backend.role = "replica"
                    self.check_in(backend)
                if backend.held > leader.term:
                    continue
                backend.term = leader.term
                if backend.log[: len(leader.log)] != leader.log or len(backend.log) > len(leader.log):
                    backend.log = list(leader.log)
                    asyncio.get_running_loop().call_later(REPLICA_LAG_S, self.apply, backend)
                backend.applied = min(backend.applied, len(backend.log))

    @staticmethod
    def apply(backend):
        backend.applied = len(backend.log)

    # Backends

    def crash(self, backend):
        """Ends a backend's process: its connections are reset and its entry expires later."""
        self.record.add(f"{backend.name} crashes")
        backend.up = False
        for writer in list(backend.writers):
            writer.transport.abort()

    def recover(self, backend):
        self.record.add(f"{backend.name} is back")
        backend.up, backend.held = True, 0
        peers = [b for b in self.backends.values() if b.service == backend.service]
        if any(b.role == "primary" and b.term > backend.term for b in peers):
            backend.role = "replica"
        self.check_in(backend)

    async def serve_backend(self, backend, reader, writer):
        if not backend.up:
            writer.transport.abort()
            return
        backend.writers.add(writer)
        try:
            await self.serve_session(backend, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        backend.writers.discard(writer)
        writer.close()

    async def serve_session(self, backend, reader, writer):
        start = ((await read_line(reader)) or "").split(" ")
        if start[0] != "STARTUP" or start[1] != backend.service or (len(start) > 3 and start[3] != backend.name):
            writer.write(b"ERROR MISROUTED -\r\n")
            return
        who = start[2]
        writer.write(f"READY I {text_position(backend.position())}\r\n".encode())
        state = {"transaction": None, "prepared": {}}
        while (line := await read_line(reader)) is not None and backend.up:
            word, _, rest = line.partition(" ")
            if word != "QUERY":
                self.record.add(f"{backend.name} received a message that is no query: {line!r}")
                break
            id, _, text = rest.partition(" ")
            rows, outcome = await self.run(backend, who, state, id, text)
            if not backend.up:
                return
            letter = {None: "I", "failed": "E"}.get(state["transaction"], "T") if not isinstance(state["transaction"], dict) else "T"
            out = "".join(f"ROW {row}\r\n" for row in rows)
            out += f"{outcome}\r\nREADY {letter} {text_position(backend.position())}\r\n"
            writer.write(out.encode())
            await writer.drain()

    async def run(self, backend, who, state, id, text):
        floor = None
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            floor = tuple(int(part) for part in position.split("."))
        verb, _, rest = text.partition(" ")
        is_primary = backend.role == "primary"
        done = "COMPLETE -"
        if verb == "STATUS":
            received = text_position(backend.received())
            return [f"{backend.role} {backend.term} {received} {backend.held} 5 0 {len(backend.writers)}"], done
        if verb in ("PAUSE", "DEMOTE"):
            if verb == "PAUSE" and not is_primary:
                backend.held = max(backend.held, int(rest))
            if verb == "DEMOTE" and is_primary and int(rest) > backend.term:
                backend.role = "replica"
                self.check_in(backend)
            received = text_position(backend.received())
            return [f"{backend.role} {backend.term} {received} {backend.held} 5 0 {len(backend.writers)}"], done
        if verb == "RESUME":
            backend.held = 0
            received = text_position(backend.received())
            return [f"{backend.role} {backend.term} {received} {backend.held} 5 0 {len(backend.writers)}"], done
        if verb == "RESET":
            state["prepared"].clear()
            return [], done
        if verb == "SET":
            return [], done
        if verb == "PREPARE":
            name, _, shape = rest.partition(" ")
            state["prepared"][name] = shape
            return [], done
        if verb == "ROLLBACK":
            state["transaction"] = None
            return [], done
        if verb == "BEGIN":
            if rest != "READ" and not is_primary:
                return [], f"ERROR READONLY {backend.name}"
            if floor and backend.position() < floor:
                return [], f"ERROR LAGGING {backend.name}"
            state["transaction"] = {}
            return [], done
        if verb == "EXEC":
            name, _, rest = rest.partition(" ")
            shape = state["prepared"].get(name)
            if shape is None:
                return [], f"ERROR NOSTMT {backend.name}"
            verb = shape.split(" ")[0]
        if verb in ("WRITE", "COMMIT") and not is_primary:
            return [], f"ERROR READONLY {backend.name}"
        if floor and backend.position() < floor:
            return [], f"ERROR LAGGING {backend.name}"
        await asyncio.sleep(WORK_S)
        if not backend.up:
            return [], done
        self.receipt += 1
        receipt = f"COMPLETE {backend.name}.{self.receipt}"
        self.runs.append((id, text, who, backend.name))
        if self.records_runs:
            self.record.add(f"{backend.name} ran for {who!r}: id {id} text {text!r}")
        if verb == "READ":
            return [backend.value(rest)], receipt
        if verb == "WRITE":
            item, _, data = rest.partition(" ")
            if state["transaction"] is not None:
                state["transaction"][item] = data
                return [], receipt
            self.commit(backend, {item: data})
        elif verb == "COMMIT":
            if state["transaction"]:
                self.commit(backend, state["transaction"])
            state["transaction"] = None
        return [], receipt

    @staticmethod
    def commit(backend, writes):
        number = backend.log[-1][1] + 1 if backend.log else 1
        backend.log.append((backend.term, number, writes))
        backend.applied = len(backend.log)


class Node:
    """Process of the system, started with the command of the deploy file."""

    def __init__(self, platform, name, folder, store_port=None, cloud_port=None, contracts=(), log_level=None):
        self.platform, self.name = platform, name
        base = free_port_block(6)
        self.front, self.ready = base, base + 1
        self.path = os.path.join(folder, f"{name}.yaml")
        self.log = open(os.path.join(folder, f"{name}.log"), "w")
        self.settings = {
            "node": name, "role": "entry", "machineClass": "front", "serves": ["front"], "ip": HOST,
            "zone": "a", "region": "north", "zones": {"a": "north"},
            "listen": {"front": f"{HOST}:{base}", "ready": f"{HOST}:{base + 1}"},
            "internalPorts": [base + 2, base + 5], "seeds": [], "bootstrap": True,
            "limits": {"cpuShare": 0.17, "cores": 1, "memoryMb": 182, "maxFds": 2940, "linkMbps": 700.0, "diskMb": 0},
            "discovery": "platform", "entry": "vip", "heartbeatMs": 1200, "contracts": list(contracts),
            "bounds": {"drainMs": 7000, "graceS": 6, "configApplyMs": 3000, "stableWindowMs": 4000,
                       "lossSlackMs": 200, "checksFence": False},
            "platform": {"address": f"{HOST}:{store_port or platform.port}", "form": "objects"},
            "cloudApi": {"address": f"{HOST}:{cloud_port or platform.port}", "duties": ["promotion"], "dutyPerS": 50.0},
        }
        self.process = None

    def write_settings(self):
        """Replaces the settings file, as the platform does when settings change."""
        temporary = self.path + ".new"
        with open(temporary, "w") as file:
            json.dump(self.settings, file)  # JSON is valid YAML.
        os.replace(temporary, self.path)

    def start(self):
        self.write_settings()
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["TAMARACKBEND_CONFIG"] = self.path
        self.process = subprocess.Popen([PROGRAM], env=environment, stdout=self.log, stderr=self.log, cwd=ROOT)
        self.settings["bootstrap"] = False

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()
        self.log.close()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_line(reader), 1)
            writer.close()
            return bool(head) and " 200 " in head + " "
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit=15):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


class Client:
    """Session of a requester."""

    def __init__(self, record, name):
        self.record, self.name = record, name
        self.reader = self.writer = None

    async def connect(self, node):
        self.reader, self.writer = await asyncio.open_connection(HOST, node.front, limit=4 << 20)

    def send(self, data):
        self.record.add(f"client {self.name} sent {data!r}")
        self.writer.write(data.encode())

    async def read_message(self, limit=5):
        try:
            line = await asyncio.wait_for(read_line(self.reader), limit)
        except asyncio.TimeoutError:
            self.record.add(f"client {self.name} received nothing for {limit} s")
            return None
        self.record.add(f"client {self.name} received {line!r}")
        return line

    async def open(self, node, startup):
        await self.connect(node)
        self.send(f"STARTUP {startup}\r\n")
        return await self.read_message()

    async def answer(self, limit=5):
        """Reads messages up to READY; returns them, the last being None if the connection ended."""
        lines = []
        while True:
            line = await self.read_message(limit)
            lines.append(line)
            if line is None or line.startswith("READY"):
                return lines

    async def query(self, id, text, limit=5):
        self.send(f"QUERY {id} {text}\r\n")
        return await self.answer(limit)

    def close(self):
        if self.writer:
            self.writer.close()


def run_case(folder, case):
    """Runs `case(record, directory, trouble)` and returns the exit status: 1 if it returns the text of
    a broken rule, 0 if it returns None, 2 if it raises."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    nodes = []
    status = 2
    with tempfile.TemporaryDirectory() as directory:
        try:
            if not os.path.exists(PROGRAM):
                raise RuntimeError(f"{PROGRAM} is not built")
            broken = asyncio.run(asyncio.wait_for(case(record, directory, trouble, nodes), 110))
            status = 1 if broken else 0
            record.add(f"rule broken: {broken}" if broken else "rule held")
            print(f"rule broken: {broken}" if broken else "rule held")
        except Exception as error:  # The case could not run.
            record.add(f"case could not run: {error!r}")
            print(f"case could not run: {error!r}")
        finally:
            for node in nodes:
                node.stop()
            record.write()
    sys.stdout.flush()
    # Leaves without the destructors of open connections, which complain about the closed event loop.
    os._exit(status)
