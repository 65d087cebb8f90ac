"""The store does not answer the daemons that read it for their zones, while a key is taken away."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import messages
from lab import HOST, main
from replicas import Replica

ZONES = ["rosenheim", "freising", "erding"]
DAEMONS = {f"d{number}": ZONES[number % 3] for number in range(9)}
CONFIG_APPLY_S = 2.0
SILENT_S = 4.0
PAUSE_S = 4.5
ROUNDS = 10
INTERVAL_S = 0.05


def config(version):
    route = {
        "Name": "read", "Host": HOST, "PathPrefix": "/read/", "Kind": "idempotent", "TimeoutMs": 4000, "TargetLatencyMs": 300,
        "Priority": 2, "Service": "desk", "MaxAttempts": 2, "Public": False, "CanResume": False, "TargetGapMs": 0,
    }
    return {
        "Version": version,
        "Routes": [route],
        "Services": [{"Name": "desk", "HealthPath": "/health", "MaxConnections": 100, "WarmupS": 0.0, "WarmupPerS": 0.0}],
        "Limits": {"HeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "t1", "ApiKeys": ["k0", f"k{version}"], "RatePerS": 0, "Burst": 0}],
    }


async def send(lab, name, version, acked_at):
    """Sends a request with the key that a version has taken away."""
    lab.number += 1
    request, sent_at = f"r{lab.number:05d}", lab.now()
    headers = [("Host", HOST), ("X-Request-Id", request), ("X-Deadline-Ms", "4000"), ("Authorization", f"Token k{version - 1}")]
    answer = await messages.fetch(lab.front(name), "GET", f"/read/{lab.number}", headers, timeout=5)
    after = sent_at - acked_at
    lab.note("answer", request, "with the key of version", version - 1, "from", name, answer[0] if answer else "none", f"sent {after:.3f} s after the ack")
    if request in lab.runs and after > CONFIG_APPLY_S:
        lab.late[version] = lab.late.get(version, 0) + 1
        text = f"{request} at {name}, sent {after:.3f} s after the ack of version {version}, ran with a key that it took away"
        if lab.late[version] == 1:
            lab.broken("CONFIG", text)
        else:
            lab.note("BROKEN", "CONFIG", text)


async def case(lab):
    lab.number, lab.late = 0, {}
    for number in range(6):
        await Replica(lab, f"k{number}", "desk", ZONES[number % 3], slots=6).start()
    version = 1
    await lab.store.put("op", "config", config(version))
    gates = {name: await lab.store.gate("127.0.0.1") for name in DAEMONS}
    for name, zone in DAEMONS.items():
        lab.start_daemon(name, zone, gates[name].address)
    await lab.until_ready(DAEMONS)
    await asyncio.sleep(6)
    for _ in range(ROUNDS):
        since = time.monotonic() - 1.5
        readers = [name for name in DAEMONS if gates[name].asked.get("op", 0) > since]
        lab.note("readers of the store", *readers)
        if len(readers) > 3:
            # Daemons that lost their reader read for themselves for a while.
            await asyncio.sleep(2)
            continue
        for name in readers:
            gates[name].silent = lab.trouble
        lab.note("store", "does not answer" if lab.trouble else "answers", *readers)
        await asyncio.sleep(random.uniform(0.02, 0.1))
        version += 1
        await lab.store.put("op", "config", config(version))
        acked_at = lab.now()
        lab.note("config", version, "acked: key", f"k{version - 1}", "is taken away")
        end = acked_at + SILENT_S
        while lab.now() < end:
            if lab.now() > acked_at + CONFIG_APPLY_S - 0.1:
                for name in DAEMONS:
                    # Machines that the store does not answer are not in touch.
                    if name not in readers:
                        lab.spawn(send(lab, name, version, acked_at))
            await asyncio.sleep(INTERVAL_S)
        for name in readers:
            gates[name].silent = False
        lab.note("store answers all")
        await asyncio.sleep(PAUSE_S)
    lab.note("late requests by version", lab.late)


main(Path(__file__).parent, ZONES, case)
