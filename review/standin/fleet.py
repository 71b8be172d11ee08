"""Stand-ins for the store, engines and clients, and the start of real gateways.

Everything listens on loopback addresses. Only Python's standard library is used. The protocol is that
of PROTOCOL.md; where the page is silent, the stand-ins behave like sound ones.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
# Bounds of the site file celeste-recife, as the settings of a machine there name them.
STABLE_S = 3.0
GRACE_S = 8
START = time.monotonic()


def now():
    """Returns the seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text, at=None):
        at = now() if at is None else at
        self.file.write(f"{at:8.3f} {text}\n")
        self.file.flush()


class Unrunnable(Exception):
    """The case could not run, which says nothing about the rule."""


async def read_message(reader):
    """Reads one HTTP message with a length, or returns None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            body = b""
            while True:
                size = int((await reader.readline()).strip() or b"0", 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += chunk[:-2]
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return lines[0], headers, None
    return lines[0], headers, body


def response(status, headers=(), body=b""):
    reasons = {200: "OK", 404: "Not Found", 410: "Gone", 421: "Misdirected Request", 503: "Unavailable"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Other')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Server:
    """A listener that keeps its open connections, so that it can end like a process."""

    def __init__(self):
        self.server = None
        self.open = set()
        self.port = 0

    async def listen(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self._accept, host, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.host = host
        return self

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def _accept(self, reader, writer):
        self.open.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    def end(self):
        """Ends like a process that exits: nothing listens, and open connections are closed."""
        self.server.close()
        for writer in list(self.open):
            writer.transport.abort()


class Store(Server):
    """The platform's store, which loses nothing that it has acknowledged."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.revision = 100
        self.items = {}
        self.history = []
        self.changed = asyncio.Condition()
        # While the store is down, it answers nothing.
        self.silent = False

    async def put(self, key, value, what=None):
        self.revision += 1
        data = base64.b64encode(json.dumps(value).encode()).decode()
        created = self.items.get(key, {}).get("create-revision", self.revision)
        item = {"key": key, "value": data, "revision": self.revision, "create-revision": created, "lease": 0}
        self.items[key] = item
        await self._note(item)
        self.record(f"store acknowledges {what or key} (revision {self.revision})")

    async def delete(self, key):
        self.revision += 1
        self.items.pop(key, None)
        await self._note({"key": key, "revision": self.revision, "deleted": True})
        self.record(f"store acknowledges the end of {key} (revision {self.revision})")

    async def _note(self, event):
        self.history.append(event)
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        while True:
            message = await read_message(reader)
            if message is None:
                return
            if self.silent:
                self.record(f"store is silent to {message[0].split(' ')[1]}")
                # A connection on which a response is lost returns nothing further.
                await reader.read(-1)
                return
            target = urllib.parse.urlsplit(message[0].split(" ")[1])
            query = dict(urllib.parse.parse_qsl(target.query))
            if target.path == "/kv-range":
                answer = self._range(query)
            elif target.path == "/kv-watch":
                answer = await self._watch(query, writer)
                if answer is None:
                    return
            else:
                answer = (404, {})
            status, body = answer
            await asyncio.sleep(0.004)
            body = json.dumps(body).encode()
            writer.write(response(status, [("Content-Type", "application/json")], body))
            await writer.drain()

    def _range(self, query):
        prefix, after = query["prefix"], query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [self.items[key] for key in keys[:500]]
        return 200, {"items": page, "has-more": len(keys) > 500, "as-of": self.revision}

    async def _watch(self, query, writer):
        prefix, after = query["prefix"], int(query["after"])
        until = now() + int(query["wait-ms"]) / 1000
        while True:
            events = [e for e in self.history if e["key"].startswith(prefix) and e["revision"] > after]
            left = until - now()
            if (events or left <= 0) and not self.silent:
                return 200, {"events": events, "as-of": self.revision}
            if writer.transport.is_closing():
                return None
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), min(max(left, 0.05), 1.0))
                except TimeoutError:
                    pass


class Engine(Server):
    """An engine of a plain service or, with a stage, of a model."""

    def __init__(self, name, record, work_s=0.03, stage=None, version="v1"):
        super().__init__()
        self.version = version
        # For a model: the time to the first token, or that of a prefill.
        self.name, self.record, self.work_s, self.stage = name, record, work_s, stage
        self.events, self.step_s = 72, 0.012
        self.slots = 6 if stage is None else 64
        self.places = asyncio.Semaphore(self.slots)
        self.arrivals = []
        self.runs = []
        self.sequence = 0
        self.born = int(time.time() * 1000)
        # Chooses the runs whose answer is lost.
        self.loses = lambda run: False
        self.lost = 0

    def entry(self, service, state="ready"):
        self.sequence += 1
        entry = {
            "service": service, "address": self.address, "zone": "olinda", "version": self.version,
            "slots": self.slots, "state": state, "cold-remaining-ms": 0, "sequence": self.sequence,
            "born": self.born,
        }
        if self.stage:
            entry["stage"] = self.stage
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return entry

    async def serve(self, reader, writer):
        while True:
            message = await read_message(reader)
            if message is None or message[2] is None:
                return
            line, headers, _ = message
            method, path, _ = line.split(" ")
            ident = headers.get("x-cumindoor-request-id")
            if method == "GET" and path == "/report":
                report = {"stage": self.stage or "none", "models": [], "busy": False, "sequence": 0,
                          "born": self.born}
                writer.write(response(200, [], json.dumps(report).encode()))
            elif path == "/health":
                writer.write(response(200, [("X-Cumindoor-Instance-Id", self.name)]))
            elif method == "DELETE":
                writer.write(response(200))
            elif headers.get("x-cumindoor-target-instance", self.name) != self.name:
                writer.write(response(421, [("X-Cumindoor-Instance-Id", self.name)]))
            elif ident is None:
                writer.write(response(400, [("X-Cumindoor-Not-Executed", "1")]))
            elif path == "/order":
                writer.write(response(400))
            else:
                self.arrivals.append((now(), ident))
                if not await self.answer(writer, ident, headers):
                    return
            await writer.drain()

    async def answer(self, writer, ident, headers):
        echo = [("X-Cumindoor-Request-Id", ident)]
        signed = echo + [("X-Cumindoor-Engine-Signature", f"{self.name}.{ident}")]
        if headers.get("x-cumindoor-serving-stage") == "prefill":
            if self.stage != "prefill":
                writer.write(response(421, echo))
                return True
            await asyncio.sleep(self.work_s)
            handle = {"kv-handle": os.urandom(6).hex(), "tokens": 5200, "version": 1}
            writer.write(response(200, echo, json.dumps(handle).encode()))
            return True
        if self.stage == "prefill":
            writer.write(response(421, echo))
            return True
        async with self.places:
            at = now()
            self.runs.append((at, ident))
            self.record(f"{self.name} runs {ident}")
            await asyncio.sleep(self.work_s)
            if self.loses(len(self.runs)):
                self.lost += 1
                self.record(f"{self.name} has run {ident}, and its answer is lost")
                reset(writer)
                return False
            if self.stage is None:
                body = f"receipt {ident} of {self.name}".encode()
                writer.write(response(200, signed, body))
                return True
            head = ["HTTP/1.1 200 OK"] + [f"{n}: {v}" for n, v in signed]
            head += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
            first = int(headers.get("last-event-id", "0")) + 1
            for number in range(first, self.events + 1):
                event = f"id: {number}\ndata: {self.version} {number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(self.step_s)
            writer.write(b"0\r\n\r\n")
        return True


async def request(address, method, path, headers, body=b"", limit=15.0):
    """Sends one attempt over a new connection. Returns the status, 0 if there is none, and the body."""
    host, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}", "Connection: close"]
            lines += [f"{name}: {value}" for name, value in headers]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            message = await read_message(reader)
            if message is None or message[2] is None:
                return 0, b""
            return int(message[0].split(" ")[1]), message[2]
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), limit)
    except (ConnectionError, OSError, TimeoutError):
        return 0, b""


def free_ports(hosts, count):
    """Returns ports that are free on all of these addresses, for TCP and UDP."""
    ports = []
    for _ in range(200):
        if len(ports) == count:
            return ports
        probe = socket.socket()
        probe.bind((hosts[0], 0))
        port = probe.getsockname()[1]
        probe.close()
        held = []
        try:
            for host in hosts:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    sock = socket.socket(socket.AF_INET, kind)
                    held.append(sock)
                    sock.bind((host, port))
            if port not in ports:
                ports.append(port)
        except OSError:
            pass
        finally:
            for sock in held:
                sock.close()
    raise Unrunnable("no free ports")


async def stream(address, caller, path, headers, body, most=1000, limit=8.0):
    """Sends one attempt for a stream from the address `caller`, and leaves after `most` events.

    Returns the status, 0 if there is none, and the (id, data) of the events.
    """
    host, port = address.rsplit(":", 1)
    events = []

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port), local_addr=(caller, 0))
        try:
            lines = [f"POST {path} HTTP/1.1", f"Content-Length: {len(body)}", "Connection: close"]
            lines += [f"{name}: {value}" for name, value in headers]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            status = int((await reader.readline()).split(b" ")[1])
            while (await reader.readline()).strip():
                pass
            number = None
            while status == 200 and len(events) < most:
                line = await reader.readline()
                if not line:
                    break
                if line.startswith(b"id:"):
                    number = int(line[3:])
                elif line.startswith(b"data:"):
                    events.append((number, line[5:].strip().decode()))
            return status
        finally:
            writer.transport.abort()

    try:
        return await asyncio.wait_for(exchange(), limit), events
    except (ConnectionError, OSError, TimeoutError, IndexError):
        return 0, events


class Gateways:
    """Real gateways, started with the command and the settings of the deploy file."""

    def __init__(self, store, count, record):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes = []
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["gateway"]
        self.words = role["run"].split(" ")
        template = (ROOT / role["template"]).read_text()
        hosts = [f"127.0.0.{21 + number}" for number in range(count)]
        callers, ready, fleet, metrics = free_ports(hosts, 4)
        self.callers = [f"{host}:{callers}" for host in hosts]
        self.ready = [f"{host}:{ready}" for host in hosts]
        seeds = ",".join(f"{host}:{ready}" for host in hosts[:3])
        for number, host in enumerate(hosts):
            values = {
                "node-name": f"front-{number + 1}", "zone": "olinda", "bounds.grace-s": GRACE_S,
                "listen.front": self.callers[number], "listen.ready": self.ready[number], "ip": host,
                "internal-ports.0": fleet, "internal-ports.1": metrics, "seeds": seeds,
                "platform.address": store.address, "bounds.lease-ms": 3000,
                "bounds.retry-budget-ratio": 0.2, "bounds.budget-slack": 56,
                "bounds.budget-window-s": 10, "limits.link-mbps": 1000.0,
            }
            text = template.replace("{{#bounds.fencing-enforced}}yes{{/bounds.fencing-enforced}}", "yes")
            text = text.replace("{{^bounds.fencing-enforced}}no{{/bounds.fencing-enforced}}", "")
            for name, value in values.items():
                text = text.replace("{{" + name + "}}", str(value))
            if "{{" in text:
                raise Unrunnable("the template has a field that this script does not know")
            (self.folder / f"{number}.ini").write_text(text)

    async def start(self):
        self.processes = []
        for number in range(len(self.callers)):
            settings = str(self.folder / f"{number}.ini")
            words = [settings if w == "/etc/cumindoor/local.toml" else w for w in self.words]
            log = open(self.folder / f"{number}.log", "ab")
            process = await asyncio.create_subprocess_exec(
                str(ROOT / words[0]), *words[1:], cwd=ROOT, stdout=log, stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )
            self.processes.append(process)
        for ready in self.ready:
            for _ in range(100):
                status, _ = await request(ready, "GET", "/readiness", [("Host", "ready")], limit=1.0)
                if status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise Unrunnable("a gateway did not become ready")
        self.record(f"{len(self.processes)} gateways ready")

    async def kill(self):
        """Kills all gateways at once."""
        running = [process for process in self.processes if process.returncode is None]
        for process in running:
            process.send_signal(signal.SIGKILL)
        for process in running:
            await process.wait()

    async def stop(self):
        await self.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def config(version, routes, services):
    limits = {
        "max-header-bytes": 16384, "max-body-bytes": 4194304,
        "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
    }
    return {"version": version, "routes": routes, "services": services, "limits": limits}


def plain_service(name):
    return {"name": name, "health-path": "/health", "max-connections": 110, "protocol": "h1", "tls": False}


def model_service(name):
    engine = {
        "slots": 64, "kv-capacity-tokens": 66998, "kv-bytes": 327680, "link-mbps": 3800000.0,
        "kv-hold-s": 0.5, "role-switch-s": 6.0, "pin-ms": 4000.0, "hold-ms": 2000.0,
        "models": [{"name": "m"}],
    }
    return {**plain_service(name), "max-connections": 370, "engine": engine}


def run_case(folder, play, limit=110.0):
    """Runs `play(trouble, record)`, which returns whether the rule held, and exits."""
    # Ends the gateways as well if the script is told to end.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")
    record(f"disruption: {'yes' if trouble else 'no'}")
    try:
        held = asyncio.run(asyncio.wait_for(play(trouble, record), limit))
    except (Unrunnable, OSError, TimeoutError) as error:
        record(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    verdict = "held" if held else "broken"
    record(f"the rule {verdict}")
    print(f"the rule {verdict}")
    sys.exit(0 if held else 1)
