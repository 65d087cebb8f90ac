"""The store comes back from a copy that is older than a service; later all replicas of the service are replaced by those
of a new version."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import stand3  # noqa: E402

HERE = os.path.dirname(os.path.abspath(__file__))
AWAY_S = 1.0


async def play(record, trouble, folder, daemons):
    store = await stand3.Store(record).start()
    routes = [stand3.route("draft", "streaming", "models", resume=True, TimeoutMs=12000)]
    services = [stand3.model_service("models", ["m1"])]
    store.put("op", "config", stand3.config(3, routes, services))

    async def replicas(service, version):
        started = [await stand3.Replica(store, record, service, zone, models=["m1"], version=version, slots=16).start()
                   for zone in "ab"]
        for replica in started:
            replica.events, replica.gap_s = 4, 0.02
        return started

    first = await replicas("models", "v1")
    for name, zone in (("front-a-1", "a"), ("front-b-1", "b")):
        daemons.append(stand3.Daemon(name, zone, store.address, folder, record))
        await daemons[-1].start()
    for daemon in daemons:
        await daemon.wait_ready()
    await asyncio.sleep(4.0)
    copy = store.copy()
    copied_at = record.now()
    # A later version of the config adds a service with a route.
    routes = routes + [stand3.route("caption", "streaming", "captions", resume=True, TimeoutMs=12000)]
    services = services + [stand3.model_service("captions", ["m1"])]
    later = stand3.config(5, routes, services)
    captions = await replicas("captions", "v1")
    store.put("op", "config", later)
    record.line("config 5 adds the service captions")

    ports = [daemon.port for daemon in daemons]
    counts = {}

    asked_in_all = iter(range(1 << 30))

    async def ask(path):
        number = next(asked_in_all)
        stream = stand3.Stream(record, f"{path}-{number}", ports[number % 2:] + ports[:number % 2], f"/{path}/{number}",
                               retries=1)
        await stream.run()
        tally = counts.setdefault(path, [0, 0])
        tally[0] += 1
        tally[1] += stream.is_whole

    async def load(seconds):
        counts.clear()
        asked = []
        for _ in range(int(seconds * 10)):
            asked += [asyncio.create_task(ask(path))
                      for path in ("draft", "caption")]
            await asyncio.sleep(0.1)
        await asyncio.gather(*asked)
        return {path: f"{served} of {sent} served" for path, (sent, served) in counts.items()}

    await asyncio.sleep(1.0)
    record.say(f"before: {await load(1.0)}")
    await asyncio.sleep(max(0.0, copied_at + 4.0 - record.now()))
    if trouble:
        store.away(True)
        record.line("the store is away")
        await asyncio.sleep(AWAY_S)
        store.restore(copy)
        store.away(False)
        record.line(f"the store is back from a copy, {record.now() - copied_at:.1f} s old")
        # The operator and the replicas write again what they wrote.
        store.put("op", "config", later)
        for replica in captions + first:
            replica.write_entry()
    else:
        await asyncio.sleep(AWAY_S)
    await asyncio.sleep(8.0)
    record.say(f"after the restore: {await load(2.0)}")

    # A release, as planned work: the new replicas start first, the old ones drain.
    released = await replicas("captions", "v2")
    record.line("replicas of version v2 of captions have started")
    await asyncio.sleep(4.0)
    for replica in captions:
        replica.entry_state, replica.leaving = "draining", True
        replica.write_entry()
    await asyncio.sleep(stand3.DRAIN_S + 3.0)
    for replica in captions:
        replica.end()
        store.remove("servers", replica.id)
    record.line("the replicas of version v1 of captions have left")
    await asyncio.sleep(5.0)
    record.say(f"after the release: {await load(10.0)}")
    caption, draft = counts["caption"], counts["draft"]
    record.say(f"rows: {sorted(key for (table, key), row in store.rows.items() if table == 'daemons' and row[0])}")
    return caption[0] >= 20 and caption[1] / caption[0] < draft[1] / draft[0] / 4


stand3.main(HERE, play)
