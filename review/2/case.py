"""A daemon without links to the replicas hands requests to daemons that the store turns away, while the config changes."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import messages
from lab import HOST, main
from links import Link
from replicas import Replica

ZONES = ["gl-east", "gl-central", "gl-west"]
# Two daemons in each zone. The first one loses its links to the replicas (a share of 0.17).
DAEMONS = {f"d{number}": ZONES[number % 3] for number in range(6)}
CUT = "d0"
# The store does not answer these (a share of 0.33).
TURNED_AWAY = ["d1", "d2"]
CONFIG_APPLY_S = 2.0
DOWNGRADE_SLACK_S = 0.25
CUT_S = 6.0
ROUNDS = 4
PER_S = 60


def config(version, kept_key, routes):
    def route(name):
        return {
            "Name": name, "Host": HOST, "PathPrefix": f"/{name}/", "Kind": "idempotent", "TimeoutMs": 2500,
            "TargetLatencyMs": 150, "Priority": 2, "Service": "desk", "MaxAttempts": 2, "Public": False,
            "CanResume": False, "TargetGapMs": 0,
        }

    return {
        "Version": version,
        "Routes": [route(name) for name in routes],
        "Services": [{"Name": "desk", "HealthPath": "/health", "MaxConnections": 110, "WarmupS": 0.0, "WarmupPerS": 0.0}],
        "Limits": {"HeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "t1", "ApiKeys": ["k0", kept_key], "RatePerS": 0, "Burst": 0}],
    }


class Judge:
    """Finds requests at the cut daemon that are handled as only an older version allows."""

    def __init__(self, lab):
        self.lab = lab
        self.acked = {}
        # When a replica first saw the effect of a version through the daemon.
        self.seen = {}
        self.counts = {}

    def check(self, request, sent_at, version, is_old, what):
        """A request whose handling tells whether `version` was in force for it."""
        if not is_old:
            return
        if sent_at > self.acked[version] + CONFIG_APPLY_S:
            self.count("later than ConfigApplyMs after the ack", request, version, what)
        elif version in self.seen and sent_at > self.seen[version] + DOWNGRADE_SLACK_S:
            self.count("after a replica had seen its effect, more than DowngradeSlackMs before", request, version, what)

    def count(self, when, request, version, what):
        self.counts[when] = self.counts.get(when, 0) + 1
        if self.counts[when] <= 3:
            self.lab.broken("CONFIG", f"{request} at {CUT}, sent {when} of version {version}: {what}")
        else:
            self.lab.note("BROKEN", "CONFIG", request, when, what)


async def send(lab, judge, number, version, kind):
    """Sends a request to the cut daemon: with the key that the version has taken away, or on the route that it has added."""
    request, sent_at = f"r{number:05d}", lab.now()
    revoked, target = f"k{version - 1}", f"/read{version}/{number}"
    key = "k0" if kind == "new route" else revoked
    target = target if kind == "new route" else f"/read/{number}"
    headers = [("Host", HOST), ("X-Request-Id", request), ("X-Deadline-Ms", "2500"), ("Authorization", f"Token {key}")]
    answer = await messages.fetch(lab.front(CUT), "GET", target, headers, timeout=4)
    status = answer[0] if answer else None
    lab.note("answer", request, kind, "of version", version, "from", CUT, status or "no whole answer")
    if version not in judge.acked:
        return
    if kind == "new route":
        if status == 200:
            judge.seen.setdefault(version, lab.runs[request][0][0])
        judge.check(request, sent_at, version, status == 404, "404 for a route that is there")
    else:
        judge.check(request, sent_at, version, request in lab.runs, "ran with a key that was taken away")


async def case(lab):
    judge = Judge(lab)
    desks = [Replica(lab, f"k{number}", "desk", zone, slots=6) for number, zone in enumerate(ZONES)]
    for desk in desks:
        await desk.start()
    version, routes = 1, ["read"]
    await lab.store.put("op", "config", config(version, "k1", routes))
    gates = {name: await lab.store.gate("127.0.0.1") for name in DAEMONS}
    links = [Link(desk.address) for desk in desks]
    for link in links:
        await link.start("127.0.0.1")
        gates[CUT].links[f"{link.target[0]}:{link.target[1]}"] = f"{link.address[0]}:{link.address[1]}"
    for name, zone in DAEMONS.items():
        lab.start_daemon(name, zone, gates[name].address)
    await lab.until_ready(DAEMONS)
    await asyncio.sleep(4)
    number = 0

    async def load(seconds):
        nonlocal number
        end = lab.now() + seconds
        while lab.now() < end:
            number += 1
            kind = random.choice(["new route", "old key"])
            lab.spawn(send(lab, judge, number, version, kind))
            await asyncio.sleep(random.expovariate(PER_S))

    for _ in range(ROUNDS):
        if lab.trouble:
            lab.note("cut", CUT, "from all replicas")
            for link in links:
                link.cut()
        await load(2.0)
        for name in TURNED_AWAY:
            gates[name].silent = lab.trouble
        lab.note("store", "does not answer" if lab.trouble else "answers", *TURNED_AWAY)
        version += 1
        routes = ["read", f"read{version}"]
        await lab.store.put("op", "config", config(version, f"k{version}", routes))
        judge.acked[version] = lab.now()
        lab.note("config", version, "acked: key", f"k{version - 1}", "is taken away, route", f"read{version}", "is new")
        await load(CUT_S - 2.0)
        for link in links if lab.trouble else []:
            await link.start("127.0.0.1")
        for name in TURNED_AWAY:
            gates[name].silent = False
        lab.note("healed")
        await load(8.0)
    lab.note("requests", number, "breaks", judge.counts)


main(Path(__file__).parent, ZONES, case)
