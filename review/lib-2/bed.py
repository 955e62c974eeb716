"""Stand-ins for the scripts of review/4 to review/8: the platform's store,
plain servers, model engines, TCP proxies, entry hosts and clients, all on
loopback addresses and in one asyncio process (the hosts are processes of
their own). They do only what the users' pages allow them to do."""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "bin", "meadowthread")
T0 = time.monotonic()


def now():
    return time.monotonic() - T0


def free_port():
    """A port below those that outgoing connections get, free for TCP and UDP."""
    while True:
        port = random.randint(10000, 29999)
        try:
            with socket.socket() as one, socket.socket(type=socket.SOCK_DGRAM) as other:
                one.bind(("127.0.0.1", port))
                other.bind(("127.0.0.1", port))
                return port
        except OSError:
            pass


class CannotRun(Exception):
    """The case could not be played, which says nothing about the rule."""


class Record:
    """What was sent, answered and run, one line an event."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def add(self, what, **fields):
        words = " ".join("%s=%s" % one for one in fields.items())
        self.file.write("%9.3f %s %s\n" % (now(), what, words))
        self.file.flush()

    def say(self, text):
        print(text, flush=True)
        self.file.write(text + "\n")
        self.file.flush()


class Message:
    def __init__(self, first, headers, body=b""):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            key, value = line.split(":", 1)
            headers[key.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_body(reader, message):
    if message.get("transfer-encoding").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                message.body = body
                return message
            body += piece[:-2]
    length = int(message.get("content-length", "0") or 0)
    message.body = await reader.readexactly(length) if length else b""
    return message


async def read_message(reader):
    return await read_body(reader, await read_head(reader))


def answer_bytes(status, body=b"", headers=()):
    head = "HTTP/1.1 %d X\r\n" % status
    for key, value in headers:
        head += "%s: %s\r\n" % (key, value)
    head += "Content-Length: %d\r\n\r\n" % len(body)
    return head.encode("latin-1") + body


class HttpStandin:
    """Accepts connections and hands each request to `serve`."""

    def __init__(self):
        self.port = 0
        self.server = None
        self.writers = set()

    async def listen(self, port=0):
        self.server = await asyncio.start_server(
            self.on_connection, "127.0.0.1", port, limit=1 << 16, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    async def on_connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await self.receive(reader)
                if not await self.serve(message, reader, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError,
                ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def receive(self, reader):
        return await read_message(reader)

    async def serve(self, message, reader, writer):
        raise NotImplementedError


class Store(HttpStandin):
    """The platform's metadata store, as the page on the protocol describes it."""

    PAGE = 50

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.revision = 1
        self.kinds = {}
        self.history = []
        self.changed = asyncio.Event()
        self.calls = 0

    def set(self, kind, name, spec):
        objects = self.kinds.setdefault(kind, {})
        old = objects.get(name)
        self.revision += 1
        objects[name] = {
            "metadata": {"name": name, "revision": self.revision,
                         "created_rev": old["metadata"]["created_rev"] if old else self.revision,
                         "finalizers": [], "deleting": False},
            "spec": spec, "status": old["status"] if old else None}
        self.note(kind, False, objects[name])

    def remove(self, kind, name):
        gone = self.kinds.get(kind, {}).pop(name, None)
        if gone is not None:
            self.revision += 1
            gone = json.loads(json.dumps(gone))
            gone["metadata"]["revision"] = self.revision
            self.note(kind, True, gone)

    def note(self, kind, removed, obj):
        self.history.append((self.revision, kind, {"removed": removed, "object": obj}))
        done, self.changed = self.changed, asyncio.Event()
        done.set()

    def send(self, writer, status, body):
        writer.write(answer_bytes(status, json.dumps(body).encode(),
                                  [("Content-Type", "application/json")]))

    async def serve(self, message, reader, writer):
        self.calls += 1
        await asyncio.sleep(0.004)
        method, target, _ = message.first.split(" ", 2)
        path, _, query = target.partition("?")
        wanted = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        parts = path[len("/v1/objects/"):].split("/")
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and name:
            found = objects.get(name)
            self.send(writer, 200 if found else 404, found or {})
        elif method == "GET" and "watch" in wanted:
            await self.watch(kind, int(wanted["watch"]), int(wanted.get("wait_ms", 0)), writer)
        elif method == "GET":
            names = sorted(one for one in objects if one > wanted.get("since_revision", ""))
            self.send(writer, 200, {"items": [objects[one] for one in names[:self.PAGE]],
                                    "truncated": len(names) > self.PAGE,
                                    "current_rev": self.revision})
        else:
            self.write(method, kind, name, parts, wanted, message, writer)
        await writer.drain()
        return True

    async def watch(self, kind, since, wait_ms, writer):
        until = time.monotonic() + wait_ms / 1000
        while True:
            changed = self.changed
            events = [one[2] for one in self.history if one[0] > since and one[1] == kind]
            left = until - time.monotonic()
            if events or left <= 0:
                self.send(writer, 200, {"events": events, "current_rev": self.revision})
                return
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def write(self, method, kind, name, parts, wanted, message, writer):
        body = json.loads(message.body) if message.body else {}
        meta = body.get("metadata", {})
        name = name or meta.get("name", "")
        old = self.kinds[kind].get(name)
        expected = int(wanted["revision"]) if "revision" in wanted else meta.get("revision")
        if method == "POST":
            if old:
                self.send(writer, 409, old)
                return
        elif not old:
            self.send(writer, 404, {})
            return
        elif expected is not None and expected != old["metadata"]["revision"]:
            self.send(writer, 409, old)
            return
        if method == "DELETE":
            self.remove(kind, name)
            self.send(writer, 200, old)
            return
        if old is None or old["spec"] != body.get("spec"):
            self.set(kind, name, body.get("spec"))
        self.send(writer, 201 if method == "POST" else 200, self.kinds[kind][name])


class Proxy:
    """Passes bytes on between a host and a peer; `hold` keeps them back
    silently, in both directions, until it is taken off."""

    def __init__(self, target_port):
        self.target = target_port
        self.port = 0
        self.open = asyncio.Event()
        self.open.set()

    async def listen(self):
        server = await asyncio.start_server(self.on_connection, "127.0.0.1", 0)
        self.server = server
        self.port = server.sockets[0].getsockname()[1]
        return self.port

    def hold(self, held):
        (self.open.clear if held else self.open.set)()

    async def on_connection(self, reader, writer):
        try:
            up_reader, up_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.pump(reader, up_writer), self.pump(up_reader, writer))

    async def pump(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await self.open.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Server(HttpStandin):
    """A plain server or engine. It keeps what arrived and what ran."""

    def __init__(self, record, service, instance, zone):
        super().__init__()
        self.record = record
        self.service = service
        self.instance = instance
        self.zone = zone
        self.work_s = 0.015
        self.arrived = []   # (time, id, outcome)
        self.behave = None  # async (message, reader, writer) -> True if handled
        self.sequence = 1

    def entry(self, **with_fields):
        entry = {"service": self.service, "address": "127.0.0.1:%d" % self.port,
                 "zone": self.zone, "version": "v1", "slots": 24, "state": "ready",
                 "cold_ms": 0, "sequence": self.sequence}
        entry.update(with_fields)
        return entry

    def note(self, message, outcome):
        self.arrived.append((now(), message.get("request-id"), outcome))
        self.record.add("arrived", server=self.instance, request=message.get("request-id"),
                        outcome=outcome, deadline_ms=message.get("deadline-ms"),
                        tenant=message.get("tenant"), bytes=len(message.body))

    def headers(self, message):
        return [("Request-Id", message.get("request-id")),
                ("Response-Stamp", "stamp.%s.%s" % (self.instance, message.get("request-id")))]

    async def serve(self, message, reader, writer):
        if message.first.split(" ")[1] == "/health":
            writer.write(answer_bytes(200, b"", [("Instance-Id", self.instance)]))
            return True
        expected = message.get("expect-instance")
        if expected and expected != self.instance:
            self.note(message, "421")
            writer.write(answer_bytes(421, b"", [("Instance-Id", self.instance)]))
            return True
        if self.behave is not None and await self.behave(message, reader, writer):
            return True
        self.note(message, "ran")
        await asyncio.sleep(self.work_s)
        writer.write(answer_bytes(200, b"x" * 800, self.headers(message)))
        await writer.drain()
        return True


class Host:
    """An entry host: the program of the deploy file with its settings."""

    def __init__(self, bed, name, zone, store_port, memory_mb):
        self.bed = bed
        self.name = name
        self.zone = zone
        self.memory_mb = memory_mb
        self.store_port = store_port
        self.choose_ports()
        self.process = None
        self.starts = 0
        self.ends_by_itself = 0
        self.is_wanted = False

    def choose_ports(self):
        self.callers, self.ready_port, self.control = free_port(), free_port(), free_port()
        self.loads, self.metrics = free_port(), free_port()

    def last_lines(self):
        with open(os.path.join(self.bed.folder, self.name + ".log"), encoding="latin-1") as log:
            return "".join(log.readlines()[-4:])

    def settings(self):
        zones = "".join("  - {name: \"%s\", region: \"cantabria\"}\n" % one
                        for one in self.bed.zones)
        return ("host:\n  name: \"%s\"\n  zone: \"%s\"\n  region: \"cantabria\"\n"
                "listen:\n  callers: \"127.0.0.1:%d\"\n  ready: \"127.0.0.1:%d\"\n"
                "  control: \"127.0.0.1:%d\"\n  loads_port: %d\n  metrics_port: %d\n"
                "zones:\n%sstore: \"http://127.0.0.1:%d\"\n"
                "retries:\n  per_request: %s\n  extra: %s\n"
                "bounds:\n  grace_s: 8\n  descriptors: 4100\n  memory_mb: %d\n"
                "  change_ms: 2000\n  leaving_ms: 2000\n  settle_ms: 3000\n" % (
                    self.name, self.zone, self.callers, self.ready_port, self.control,
                    self.loads, self.metrics, zones, self.store_port,
                    self.bed.retry_ratio, self.bed.retry_extra, self.memory_mb))

    async def start(self):
        path = os.path.join(self.bed.folder, self.name + ".yaml")
        with open(path, "w", encoding="utf-8") as out:
            out.write(self.settings())
        log = open(os.path.join(self.bed.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "relay", stdout=log, stderr=log, cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""), "HOME": self.bed.folder,
                 "LANG": "C.UTF-8", "MEADOWTHREAD_SETTINGS": path})
        log.close()
        self.starts += 1
        self.is_wanted = True
        self.bed.record.add("host-started", host=self.name, pid=self.process.pid)

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.bed.record.add("signal", host=self.name, number=int(number))
            self.process.send_signal(number)

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(
                call(self.ready_port, "GET", "/v1/ready", {}), 1.0)
            return answer is not None and answer.status == 200
        except (asyncio.TimeoutError, OSError):
            return False

    def memory(self):
        """Memory of the process's own in MB: without the program and the libraries,
        which are mapped from files. 0 if it has ended."""
        try:
            with open("/proc/%d/status" % self.process.pid, encoding="ascii") as status:
                for line in status:
                    if line.startswith("RssAnon"):
                        return int(line.split()[1]) / 1024
        except (OSError, AttributeError):
            pass
        return 0


class Bed:
    """A small deployment on loopback."""

    def __init__(self, case_folder, hosts=3, retry_ratio=0.2, retry_extra=52,
                 memory_mb=110, zones=("torrelavega", "reinosa", "laredo")):
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.zones = list(zones)
        self.retry_ratio = retry_ratio
        self.retry_extra = retry_extra
        self.store = Store(self.record)
        self.host_count = hosts
        self.memory_mb = memory_mb
        self.hosts = []
        self.proxies = []
        self.servers = {}
        self.config = None

    async def begin(self, config, through_proxies=False):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("the program of the deploy file is not built")
        await self.store.listen()
        self.configure(config)
        for number in range(self.host_count):
            port = self.store.port
            if through_proxies:
                proxy = Proxy(self.store.port)
                port = await proxy.listen()
                self.proxies.append(proxy)
            self.hosts.append(Host(self, "front-%d" % (number + 1),
                                   self.zones[number % len(self.zones)], port, self.memory_mb))
        for host in self.hosts:
            await host.start()
        until = time.monotonic() + 15
        while not all([await host.is_ready() for host in self.hosts]):
            for host in self.hosts:
                if host.process.returncode is not None:   # a port was taken meanwhile
                    self.record.add("not-started", host=host.name, log=host.last_lines())
                    host.choose_ports()
                    await host.start()
            if time.monotonic() > until:
                raise CannotRun("a host did not become ready: " + " ".join(
                    host.last_lines() for host in self.hosts))
            await asyncio.sleep(0.1)

    def configure(self, config):
        self.config = config
        self.record.add("config-sent", version=config["version"])
        self.store.set("config", "main", config)

    async def add_server(self, service, instance, zone=None, server=None, **entry):
        server = server or Server(self.record, service, instance, zone or self.zones[0])
        await server.listen()
        self.servers[instance] = server
        self.store.set("servers", instance, server.entry(**entry))
        return server

    def heartbeat_forever(self, every_s=1.2):
        async def beat():
            while True:
                await asyncio.sleep(every_s)
                for instance, server in list(self.servers.items()):
                    held = self.store.kinds.get("servers", {}).get(instance)
                    if held is not None:
                        server.sequence += 1
                        # The entry is altered only when more than the sequence changes.
                        held["spec"]["sequence"] = server.sequence
        return asyncio.ensure_future(beat())

    async def end(self):
        for host in self.hosts:
            host.is_wanted = False
            if host.process is not None and host.process.returncode is None:
                host.process.kill()
                await host.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


async def call(port, method, target, headers, body=b"", source=None):
    """One request on a connection of its own. None: closed without an answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        head = "%s %s HTTP/1.1\r\n" % (method, target)
        headers = dict(headers)
        headers.setdefault("Host", "a.example")
        for key, value in headers.items():
            head += "%s: %s\r\n" % (key, value)
        if body or method in ("POST", "PUT"):
            head += "Content-Length: %d\r\n" % len(body)
        writer.write(head.encode("latin-1") + b"\r\n" + body)
        await writer.drain()
        message = await read_message(reader)
        return Answer(int(message.first.split()[1]), message.headers, message.body)
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    finally:
        writer.close()


def route(name, service, kind, timeout_ms=800, target_ms=150, attempts=1, **more):
    one = {"name": name, "host": "a.example", "path_prefix": "/%s/" % name, "kind": kind,
           "timeout_ms": timeout_ms, "target_latency_ms": target_ms, "priority": 2,
           "service": service, "max_attempts": attempts, "public": False,
           "sticky_sessions": False, "resumable": False}
    one.update(more)
    return one


def config(version, routes, services=("app",), tenants=None, limits=None, engines=None):
    listed = []
    for name in services:
        one = {"name": name, "health_check_path": "/health", "max_connections": 96,
               "protocol": "h1", "tls": False}
        if engines and name in engines:
            one["engine"] = engines[name]
        listed.append(one)
    return {"version": version, "routes": routes, "services": listed,
            "limits": limits or {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                                 "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": tenants or [{"name": "t1", "api_keys": ["key-1"], "priority": 1}]}


def run(main, case_file):
    """Plays `main(folder, trouble)` and exits with its verdict."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # ends the hosts as well
    folder = os.path.dirname(os.path.abspath(case_file))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(asyncio.wait_for(main(folder, trouble), 115))
    except CannotRun as why:
        print("could not run:", why)
        sys.exit(2)
    except asyncio.TimeoutError:
        print("could not run: the time is up")
        sys.exit(2)
    sys.exit(1 if broken else 0)


class Engine(Server):
    """A model engine: streams of numbered events, KV-cache moves and reports.
    A run goes on while its connection is open, or until it is stopped."""

    def __init__(self, record, service, instance, zone, event_s=0.03, slots=24, queue=72):
        super().__init__(record, service, instance, zone)
        self.event_s = event_s
        self.slots = slots
        self.queue = queue
        self.running = 0
        self.waiting = 0
        self.leaves_ms = None
        self.room = asyncio.Condition()

    def entry(self, **with_fields):
        entry = super().entry(stage="unified",
                              models=[{"name": "m", "version": 1, "adapters": []}])
        entry.update(with_fields)
        return entry

    def report(self):
        body = {"stage": "unified", "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False, "sequence": self.sequence, "waiting": self.waiting,
                "running": self.running, "kv_used": 100 * self.running, "kv_total": 34000,
                "handles": 0}
        if self.leaves_ms is not None:
            body["leaves_ms"] = self.leaves_ms
        return body

    async def serve(self, message, reader, writer):
        path = message.first.split(" ")[1]
        if path == "/v1/report":
            writer.write(answer_bytes(200, json.dumps(self.report()).encode(),
                                      [("Content-Type", "application/json")]))
            return True
        if path.startswith("/v1/kv-") or path == "/health":
            writer.write(answer_bytes(404, b"{}", [("Content-Type", "application/json")]))
            return True
        expected = message.get("expect-instance")
        if expected and expected != self.instance:
            self.note(message, "421")
            writer.write(answer_bytes(421, b"", [("Instance-Id", self.instance)]))
            return True
        if self.running + self.waiting >= self.slots + self.queue:
            self.note(message, "full")
            writer.write(answer_bytes(503, b"", self.not_run(message)))
            return True
        if self.behave is not None and await self.behave(message, reader, writer):
            return True
        await self.stream(message, reader, writer)
        return False

    def not_run(self, message):
        return [("Request-Id", message.get("request-id")), ("Not-Run", "1")]

    async def stream(self, message, reader, writer):
        self.waiting += 1
        try:
            while self.running >= self.slots:
                await asyncio.sleep(0.005)
                if writer.is_closing() or reader.at_eof():
                    return
        finally:
            self.waiting -= 1
        self.running += 1
        self.note(message, "ran")
        try:
            head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            for key, value in self.headers(message):
                head += "%s: %s\r\n" % (key, value)
            writer.write((head + "\r\n").encode())
            count = self.events_for(message)
            for number in range(count):
                await asyncio.sleep(self.event_s)
                if writer.is_closing() or reader.at_eof():
                    self.record.add("stream-left", server=self.instance,
                                    request=message.get("request-id"), event=number)
                    return
                event = ("id: %d\ndata: %s-%d\n\n" % (
                    number, message.get("request-id"), number)).encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.record.add("stream-whole", server=self.instance,
                            request=message.get("request-id"))
        finally:
            self.running -= 1

    def events_for(self, message):
        return max(1, int(message.get("token-counts", "0,16").split(",")[1]) // 4)


def engine_traits(**more):
    one = {"slots": 24, "kv_capacity_tokens": 34305, "kv_token_bytes": 327680,
           "link_mbps": 47000.0, "moves": True, "backups": True, "stride": 4, "most": 12,
           "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": [{"name": "m"}]}
    one.update(more)
    return one
