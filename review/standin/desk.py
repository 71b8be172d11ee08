"""The billing desk: two plain services, an unsafe route, and clients that send receipts all the time."""

import asyncio
import uuid

from fleet import Engine, Gateways, Store, config, now, plain_service, request

HOST = "desk.example"
SERVICES = ("desk-a", "desk-b")


class Desk:
    """A store, engines of two services and gateways, with clients that send unsafe requests."""

    def __init__(self, record, gateways=2, work_s=0.03, interval_s=0.025):
        self.record, self.count = record, gateways
        self.work_s, self.interval_s = work_s, interval_s
        self.store = Store(record)
        self.engines = {}
        # When each request was sent, and the status of its answer.
        self.results = {}
        self.tasks = set()

    async def start(self):
        await self.store.listen()
        for service in SERVICES:
            self.engines[service] = [
                await Engine(f"i-{service}-{number}", self.record, self.work_s).listen() for number in (1, 2)
            ]
            for engine in self.engines[service]:
                await self.store.put(f"servers/{engine.name}", engine.entry(service), f"{engine.name} ready")
        await self.configure(1, "desk-a")
        self.gateways = Gateways(self.store, self.count, self.record)
        await self.gateways.start()

    async def configure(self, version, service, timeout_ms=1500):
        """Writes a configuration. Returns when the store has acknowledged it."""
        route = {
            "name": "receipts", "host": HOST, "prefix": "/topup/", "kind": "unsafe", "timeout-ms": timeout_ms,
            "target-latency-ms": 150, "priority": 1, "service": service, "max-attempts": 1,
        }
        services = [plain_service(name) for name in SERVICES]
        what = f"configuration {version}, which leads to {service}"
        await self.store.put("op/config", config(version, [route], services), what)
        return now()

    async def send_until(self, until):
        """Sends requests at an even rate, in turn to each gateway."""
        number = 0
        while now() < until:
            self.tasks.add(asyncio.create_task(self.send(self.gateways.callers[number % self.count])))
            number += 1
            await asyncio.sleep(self.interval_s)
        await asyncio.gather(*self.tasks)

    async def send(self, address):
        ident = uuid.uuid4().hex[:16]
        headers = [("Host", HOST), ("X-Cumindoor-Request-Id", ident), ("X-Cumindoor-Deadline-Ms", "1500")]
        sent = now()
        status, _ = await request(address, "POST", "/topup/1", headers, b"amount=5", limit=3.0)
        self.results[ident] = (sent, status)
        self.record(f"client sent {ident} at {sent:.3f} to {address}, answer {status or 'none'}")

    async def stop(self):
        await self.gateways.stop()
