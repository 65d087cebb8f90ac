"""A replica leaves by removing its entry, and says so in its answers; then the store comes back from a copy."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import stand3  # noqa: E402

HERE = os.path.dirname(os.path.abspath(__file__))
# The store is away for a moment, and its copy is some seconds old.
AWAY_S = 1.0
COPY_AGE_S = 4.0
# Entries are back within about two seconds of the store's return; so is the removal of this one.
WRITTEN_AGAIN_S = 2.0
# It serves for DrainMs and some seconds more, about 5 in all, and then exits: so long after the store's return.
EXITS_AFTER_S = 0.4


async def play(record, trouble, folder, daemons):
    store = await stand3.Store(record).start()
    routes = [stand3.route("read", "idempotent", "desk"),
              stand3.route("charge", "non_idempotent", "desk", attempts=1)]
    store.put("op", "config", stand3.config(3, routes, [stand3.plain_service("desk")]))
    replicas = [await stand3.Replica(store, record, "desk", zone, run_s=0.3).start() for zone in "aabb"]
    for name, zone in (("front-a-1", "a"), ("front-b-1", "b")):
        daemons.append(stand3.Daemon(name, zone, store.address, folder, record))
        await daemons[-1].start()
    for daemon in daemons:
        await daemon.wait_ready()
    await asyncio.sleep(1.5)

    tries = []  # sent at, daemon, id
    passed = {}  # daemon -> time at which it had passed on an answer with Server-Leaving
    outcomes, statuses = {}, {}
    is_over = asyncio.Event()

    async def attempt(daemon, number):
        path = "charge" if number % 2 else "read"
        request_id = f"{daemon.name}-{path}-{number}"
        sent_at = record.now()
        tries.append((sent_at, daemon.name, request_id))
        answer = await stand3.call(daemon.port, "POST", f"/{path}/{number}", request_id)
        record.line(f"{request_id}, sent at {sent_at:.3f}: {answer.status}, Server-Leaving "
                    f"{answer.headers.get('server-leaving', '-')}")
        statuses[request_id] = answer.status
        outcomes[answer.status] = outcomes.get(answer.status, 0) + 1
        if answer.headers.get("server-leaving") == "1":
            passed.setdefault(daemon.name, record.now())

    async def load(daemon):
        number, open_attempts = 0, []
        while not is_over.is_set():
            open_attempts.append(asyncio.create_task(attempt(daemon, number)))
            number += 1
            await asyncio.sleep(0.05)
        await asyncio.gather(*open_attempts)

    loads = [asyncio.create_task(load(daemon)) for daemon in daemons]
    await asyncio.sleep(3.0)
    copy = store.copy()
    copied_at = record.now()
    await asyncio.sleep(0.5)
    leaving = replicas[0]
    for _ in range(400):
        # Both machines have a request there, so both pass on one of its answers.
        if all(any(name in request_id for request_id in leaving.running) for name in ("front-a-1", "front-b-1")):
            break
        await asyncio.sleep(0.005)
    record.line(f"{leaving.id} leaves: its entry is removed, and its answers say so")
    leaving.leaving, leaving.beats = True, False
    store.remove("servers", leaving.id)

    async def leave():
        await returned.wait()
        await asyncio.sleep(EXITS_AFTER_S)
        record.line(f"{leaving.id} exits, with {leaving.running} under way")
        cut.extend(leaving.running)
        leaving.end()

    cut, returned = [], asyncio.Event()
    exiting = asyncio.create_task(leave())
    await asyncio.sleep(copied_at + COPY_AGE_S - record.now())
    if trouble:
        record.line("the store is away")
        store.away(True)
        await asyncio.sleep(AWAY_S)
        store.restore(copy)
        store.away(False)
        record.line(f"the store is back from a copy, {record.now() - copied_at:.1f} s old")
        returned.set()
        # The others' heartbeats write their entries again; the operator writes its config again.
        store.put("op", "config", stand3.config(3, routes, [stand3.plain_service("desk")]))
        await asyncio.sleep(WRITTEN_AGAIN_S)
        store.remove("servers", leaving.id)
        record.line(f"the removal of {leaving.id} is written again")
    else:
        await asyncio.sleep(AWAY_S)
        returned.set()
        await asyncio.sleep(WRITTEN_AGAIN_S)
    await asyncio.sleep(1.5)
    is_over.set()
    await asyncio.gather(exiting, *loads)

    for request_id in cut:
        record.say(f"{request_id} was under way when it exited: the client got {statuses.get(request_id)}")
    record.say(f"answers: {outcomes}")
    if len(passed) < len(daemons):
        raise stand3.CannotRun(f"only {sorted(passed)} passed on an answer with Server-Leaving")
    reached = {request_id: at for at, request_id in leaving.arrivals}
    late = [(at, name, request_id) for at, name, request_id in tries
            if request_id in reached and at > passed[name] + stand3.DRAIN_S]
    for at, name, request_id in late:
        record.say(f"{request_id} was sent {at - passed[name]:.2f} s after {name} had passed on an answer with "
                   f"Server-Leaving, and reached {leaving.id} at {reached[request_id]:.3f}")
    record.say(f"requests that reached the leaving replica too late: {len(late)}")
    return bool(late)


stand3.main(HERE, play)
