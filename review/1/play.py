"""The configuration changes after an outage of the store, which began between two watches."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))

from desk import Desk  # noqa: E402
from fleet import STABLE_S, now, run_case  # noqa: E402

# The site file's config_storm: a change each 0.06 s; two of them are used.
GAP_S = 0.06
# The site file's platform_down, silent: 4.5 s.
OUTAGE_S = 1.5
# config-apply-ms
APPLY_S = 2.0


async def play(trouble, record):
    desk = Desk(record)
    await desk.start()
    try:
        clients = asyncio.create_task(desk.send_until(now() + 11.0))
        await asyncio.sleep(1.0)
        await desk.configure(2, "desk-a", 1400)
        await asyncio.sleep(GAP_S)
        await desk.configure(3, "desk-a", 1500)
        await asyncio.sleep(GAP_S / 2)
        if trouble:
            record("the store is down, silently")
            desk.store.silent = True
        await asyncio.sleep(OUTAGE_S)
        record("the store is up")
        desk.store.silent = False
        # The store is stable, and all gateways are in touch, from stable-window-ms on.
        await asyncio.sleep(STABLE_S + 0.3)
        acked = await desk.configure(4, "desk-b")
        await clients
    finally:
        await desk.stop()

    late = {ident: sent for ident, (sent, _) in desk.results.items() if sent > acked + APPLY_S}
    stale = [(at, ident) for engine in desk.engines["desk-a"] for at, ident in engine.runs if ident in late]
    for at, ident in stale:
        record(f"{ident}, sent {1000 * (late[ident] - acked):.0f} ms after the ack, is run by desk-a", at)
    text = (f"{len(late)} requests were sent later than {1000 * APPLY_S:.0f} ms after the ack; "
            f"{len(stale)} of them were run by the old service")
    record(text)
    print(text)
    return not stale


run_case(FOLDER, play)
