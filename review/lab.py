"""Runs a small deployment on loopback addresses: daemons as separate processes, a store, replicas and clients."""

import asyncio
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import messages
from store import Store

ROOT = Path(__file__).resolve().parents[1]
PROGRAM = "target/release/persimmond-platform"
HOST = "shop.example"
BOUNDS = {
    "GraceS": 8,
    "ConfigApplyMs": 2000,
    "DrainMs": 2000,
    "BudgetExtra": 54,
    "BudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "LeaseMs": 3000,
    "CeilingWindowS": 5,
}


class Unrunnable(Exception):
    """The case can't run here."""


class Lab:
    """One run of a script."""

    def __init__(self, folder, zones):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.zones = zones
        self.store = Store()
        self.daemons = {}
        self.ports = {}
        self.ips = {}
        self.tasks = set()
        self.runs = {}
        self.breaks = []
        self.started = time.monotonic()
        self.temporary = tempfile.TemporaryDirectory()
        self.note("run", "TROUBLE=1" if self.trouble else "TROUBLE=0")

    def note(self, *words):
        at = time.monotonic() - self.started
        self.record.write(f"{at:9.3f} " + " ".join(str(word) for word in words) + "\n")
        self.record.flush()

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def ran(self, request, replica, target, headers, body):
        self.runs.setdefault(request, []).append((time.monotonic() - self.started, replica.id))
        self.note("runs", request, "at", replica.id, target)

    def ordered(self, replica, order, answer):
        adapter = order.get("Adapter", "-")
        self.note(
            "order", replica.id, order["Operation"], order["Model"], adapter, "expected", order.get("Expected"),
            "holder", order["Holder"], "token", order["FencingToken"], "->", answer,
        )

    def broken(self, rule, text):
        self.breaks.append((rule, text))
        self.note("BROKEN", rule, text)

    def settings(self, name, zone, ip):
        """The settings file of a daemon, from the template of the deploy file."""
        if not self.ports:
            self.ports = free_ports()
        ports = self.ports
        values = {
            "NodeName": name,
            "Zone": zone,
            "Ip": ip,
            "Limits.CpuShare": 0.25,
            "Listen.Front": f"{ip}:{ports[0]}",
            "Listen.Ready": f"{ip}:{ports[1]}",
            "Listen.Control": f"{ip}:{ports[2]}",
            "PortRange.0": ports[3],
            "PortRange.1": ports[4],
            "Platform.Address": f"{self.store.address[0]}:{self.store.address[1]}",
        }
        values |= {f"Bounds.{key}": value for key, value in BOUNDS.items()}
        template = (ROOT / "deploy/settings.ini").read_text()
        return re.sub(r"\{\{([\w.]+)\}\}", lambda it: str(values[it[1]]), template)

    def start_daemon(self, name, zone, store=None):
        """Starts a daemon with the command of the deploy file."""
        if not (ROOT / PROGRAM).exists():
            raise Unrunnable(f"{PROGRAM} is not built")
        ip = self.ips.setdefault(name, f"127.{random.randint(64, 191)}.{random.randint(1, 250)}.{len(self.ips) + 1}")
        path = Path(self.temporary.name) / f"{name}.ini"
        text = self.settings(name, zone, ip)
        if store:
            text = re.sub(r"(?m)^store = .*$", f"store = {store[0]}:{store[1]}", text)
        path.write_text(text)
        log = open(Path(self.temporary.name) / f"{name}.log", "ab")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["PERSIMMONCROFT_NODE_FILE"] = str(path)
        process = subprocess.Popen([PROGRAM], cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.daemons[name] = process
        self.note("daemon", name, "starts")
        return process

    def kill(self, names):
        """Kills daemons, all at one time."""
        for name in names:
            self.daemons[name].kill()
        for name in names:
            self.daemons[name].wait()
        self.note("killed", *names)

    def now(self):
        return time.monotonic() - self.started

    def front(self, name):
        return (self.ips[name], self.ports[0])

    async def is_ready(self, name):
        answer = await messages.fetch((self.ips[name], self.ports[1]), "GET", "/persimmoncroft/readiness", [("Host", "x")], timeout=1)
        return answer is not None and answer[0] == 200

    async def until_ready(self, names, within=20):
        deadline = time.monotonic() + within
        for name in names:
            while not await self.is_ready(name):
                if time.monotonic() > deadline:
                    raise Unrunnable(f"{name} is not ready")
                await asyncio.sleep(0.1)
        self.note("ready", *names)

    def log_lines(self, name, text):
        path = Path(self.temporary.name) / f"{name}.log"
        return [line for line in path.read_text(errors="replace").splitlines() if text in line]

    def end(self):
        for process in self.daemons.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for path in Path(self.temporary.name).glob("*.log"):
                (Path(keep) / path.name).write_bytes(path.read_bytes())
        self.temporary.cleanup()


def free_ports():
    """Ports for the listeners of the daemons, which have an address each."""
    sockets = []
    for _ in range(5):
        it = socket.socket()
        it.bind(("", 0))
        sockets.append(it)
    ports = [it.getsockname()[1] for it in sockets]
    for it in sockets:
        it.close()
    return ports


def main(folder, zones, case):
    """Runs a case; exits with 1 if a rule was broken, 0 if not, 2 if it couldn't run."""

    async def run():
        lab = Lab(folder, zones)
        try:
            await lab.store.start("127.0.0.1")
            await case(lab)
        except Exception as error:
            print(f"could not run: {error!r}")
            return 2
        finally:
            lab.end()
        lab.note("result", "broken" if lab.breaks else "held")
        for rule, text in lab.breaks[:5]:
            print(f"{rule}: {text}")
        print(f"{len(lab.breaks)} breaks" if lab.breaks else "held")
        return 1 if lab.breaks else 0

    async def run_and_exit():
        code = await run()
        sys.stdout.flush()
        # What is left of the connections of stand-ins ends with this process.
        os._exit(code)

    asyncio.run(run_and_exit())
