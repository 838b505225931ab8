"""Fault injection for the soak test. Each fault is undone after a random duration; all draws follow from one seed."""

import asyncio
import dataclasses
import signal
import time

import worker as workers
from fuzzed_worker import FuzzedResponses
from serving_site import EXTRA_PREFIX


@dataclasses.dataclass
class Fault:
    """An injected fault."""

    name: str
    target: str
    started_at: float  # seconds since the start of the soak
    duration: float  # seconds
    undo: object  # function that ends the fault

    def describe(self):
        return f"{self.started_at:7.2f} s  {self.name} {self.target} for {self.duration:.1f} s"


class FaultInjector:
    """Injects randomly drawn faults and undoes them when their duration is over; several may overlap."""

    def __init__(self, site, random, with_notices=False, with_clock_steps=False, with_copies=False, with_versions=False,
                 with_repeats=False):
        self.site, self.random = site, random
        self.start = time.monotonic()
        self.active, self.history = [], []
        self.kinds = [self.kill_instance, self.suspend_instance, self.restart_instance, self.change_settings, self.set_store_mode,
                      self.set_store_mode_for_instance, self.delay_store, self.discard_store_history, self.crash_worker,
                      self.set_worker_fault_share,
                      self.delay_orders, self.drain_worker, self.change_configuration, self.reset_store_connections]
        if with_notices:  # optional, so that existing seeds without it still draw the same schedule
            self.kinds += [self.announce_worker_leaving, self.request_worker_pauses] * 3
        if with_clock_steps:
            self.kinds += [self.step_wall_clock] * 4
        if with_copies:
            self.kinds += [self.restore_store, self.limit_worker_rate] * 3
        if with_versions:
            self.kinds += [self.release_worker] * 4 + [self.kill_instance] * 2
        if with_repeats:
            self.kinds += [self.repeat_refusals] * 8

    def now(self):
        return time.monotonic() - self.start

    def step(self, max_active):
        """Undoes the faults whose duration is over and tries to inject one more if fewer than `max_active` are active."""
        for fault in [it for it in self.active if self.now() >= it.started_at + it.duration]:
            self._end_fault(fault)
        if len(self.active) >= max_active:
            return
        kind = self.random.choice(self.kinds)
        fault = kind()
        if fault:
            self.site.begin_disruption(fault.target)
            self.active.append(fault)
            self.history.append(fault)
            print(fault.describe(), flush=True)

    def end(self):
        for fault in list(self.active):
            self._end_fault(fault)

    def _end_fault(self, fault):
        self.active.remove(fault)
        fault.undo()
        self.site.end_disruption(fault.target)

    def _fault(self, name, target, undo, shortest=0.5, longest=4.0):
        return Fault(name, target, self.now(), self.random.uniform(shortest, longest), undo)

    def _has_fault(self, target):
        return any(it.target == target for it in self.active)

    def _pick_instance(self):
        """Returns a random instance without an active fault, or None if that would leave no instance free of faults."""
        free = [it for it in self.site.instances.values() if not self._has_fault(it.name) and it.has_logged()]
        return self.random.choice(free) if len(free) > 1 else None

    def _pick_worker(self, engines_only=False):
        free = [it for it in self.site.workers.values() if it.is_up and not self._has_fault(it.name)
                and it.state == "ready" and not isinstance(it, FuzzedResponses) and (not engines_only or isinstance(it, workers.Engine))]
        return self.random.choice(free) if len(free) > 2 else None

    # Faults of instances.

    def kill_instance(self):
        instance = self._pick_instance()
        if not instance:
            return None
        instance.process.kill()
        return self._fault("killed", instance.name, lambda: self.site.start_instance(instance.name, instance.zone))

    def suspend_instance(self):
        instance = self._pick_instance()
        if not instance:
            return None
        instance.process.pause()
        return self._fault("suspended", instance.name, instance.process.resume, 0.3, 6.0)

    def restart_instance(self):
        instance = self._pick_instance()
        if not instance:
            return None
        instance.process.send_signal(signal.SIGTERM)

        def start_again():
            status = instance.process.wait()
            if status != 0:
                self.site.add_violation(f"{instance.name} ended with status {status} after SIGTERM")
            self.site.start_instance(instance.name, instance.zone)
        return self._fault("restarted after SIGTERM", instance.name, start_again, 3.0, 5.0)

    def change_settings(self):
        instance = self._pick_instance()
        if not instance:
            return None
        path = self.site.folder / f"{instance.name}.conf"
        ratio = self.random.choice(["0.15", "0.2", "0.25"])
        lines = [f"BULRUSH_RETRY_RATIO={ratio}" if it.startswith("BULRUSH_RETRY_RATIO=") else it
                 for it in path.read_text().splitlines()]
        path.write_text("\n".join(lines) + "\n")
        if self.random.random() < 0.5:
            instance.process.send_signal(signal.SIGHUP)
        return self._fault("settings of", f"{instance.name} changed", lambda: None, 0.1, 0.2)

    def step_wall_clock(self):
        """Sets the wall clock of an instance forward or back by seconds; it stays there, or jumps back later."""
        instance = self._pick_instance()
        if not instance:
            return None
        shift = self.random.choice([-1, 1]) * self.random.uniform(0.5, 9.0)
        instance.wall_clock.set_shift(shift)
        undo = self.random.choice([lambda: None, lambda: instance.wall_clock.set_shift(0.0)])
        return self._fault(f"wall clock {shift:+.1f} s of", instance.name, undo)

    # Faults of the store.

    def _store_fault(self, name, target, ports, **changes):
        for port in ports:
            for key, value in changes.items():
                setattr(self.site.store.faults[port], key, value)

        def undo():
            for port in ports:
                self.site.store.faults[port].__init__()
        return self._fault(name, target, undo)

    def set_store_mode(self):
        if self._has_fault("store"):
            return None
        mode = self.random.choice(["refusing", "limiting", "silent", "resetting", "losing"])
        return self._store_fault(f"store {mode}", "store", list(self.site.store.faults), mode=mode)

    def set_store_mode_for_instance(self):
        instance = self._pick_instance()
        if not instance or self._has_fault("store"):
            return None
        mode = self.random.choice(["refusing", "silent", "resetting", "losing"])
        return self._store_fault(f"store {mode} for", instance.name, [instance.name], mode=mode,
                                 share=self.random.choice([0.5, 1.0]))

    def delay_store(self):
        if self._has_fault("store"):
            return None
        return self._store_fault("store slow", "store", list(self.site.store.faults), delay=self.random.uniform(0.1, 0.8))

    def restore_store(self):
        """Restores the store at the end of the fault from a copy that is taken now."""
        if self._has_fault("store"):
            return None
        copy = self.site.call_on_loop(self.site.store.copy)

        def undo():
            for port in self.site.store.faults:
                self.site.call_on_loop(self.site.store.abort_connections, port)
            self.site.restore_store(copy)
        return self._fault("writes will be lost by the", "store", undo, 1.0, 6.0)

    def discard_store_history(self):
        self.site.call_on_loop(self.site.store.discard_feed_history)
        return self._fault("store discarded", "its feed history", lambda: None, 0.1, 0.2)

    def reset_store_connections(self):
        instance = self._pick_instance()
        if not instance:
            return None
        self.site.call_on_loop(self.site.store.abort_connections, instance.name)
        return self._fault("store connections cut", instance.name, lambda: None, 0.1, 0.2)

    # Faults of workers.

    def crash_worker(self):
        worker = self._pick_worker()
        if not worker:
            return None
        duration = self.random.uniform(0.3, 3.0)
        self.site.spawn(worker.crash(restart_after=duration))
        return Fault("crashed", worker.name, self.now(), duration + 0.2, lambda: None)

    def release_worker(self):
        """Restarts an engine with another software version."""
        worker = self._pick_worker(engines_only=True)
        if not worker:
            return None
        worker.version = "v2" if worker.version == "v1" else "v1"
        duration = self.random.uniform(0.3, 1.5)
        self.site.spawn(worker.crash(restart_after=duration))
        return Fault(f"restarted as {worker.version}", worker.name, self.now(), duration + 0.2, lambda: None)

    def set_worker_fault_share(self):
        worker = self._pick_worker()
        if not worker:
            return None
        share = self.random.choice(["fail_share", "garble_share", "lose_share", "cut_share", "shed_share"])
        setattr(worker, share, self.random.choice([0.2, 0.5, 1.0]))
        return self._fault(share.replace("_share", "s"), worker.name, lambda: setattr(worker, share, 0.0))

    def announce_worker_leaving(self):
        """Announces in response headers that the worker leaves while its entry in the store still says ready, then restarts it."""
        worker = self._pick_worker()
        if not worker:
            return None
        worker.announces_leaving = True
        duration = self.random.uniform(2.5, 5.0)

        async def end():
            await asyncio.sleep(duration)
            if worker.is_up and worker.announces_leaving:
                await worker.crash(restart_after=0.5)
        self.site.spawn(end())
        return Fault("announces leaving in responses", worker.name, self.now(), duration + 0.7, lambda: None)

    def request_worker_pauses(self):
        worker = self._pick_worker()
        if not worker:
            return None
        worker.pause = self.random.choice([0.7, 1.5, 3.0])

        def undo():
            worker.pause = None
        return self._fault("requests pauses", worker.name, undo)

    def repeat_refusals(self):
        """Makes a worker refuse many requests and send copies of its refusals."""
        worker = self._pick_worker()
        if not worker:
            return None
        worker.repeats = workers.RefusalRepeats(
            copies=self.random.choice([1, 1, 2]), delay=self.random.choice([None, None, 0.001, 0.015]),
            is_split=self.random.random() < 0.2)
        worker.shed_status = self.random.choice([503, 503, 429, 421])
        worker.shed_share = self.random.choice([0.3, 0.6])

        def undo():
            worker.repeats, worker.shed_status, worker.shed_share = None, 503, 0.0
        return self._fault("repeats refusals", worker.name, undo)

    def limit_worker_rate(self):
        worker = self._pick_worker()
        if not worker:
            return None
        self.site.call_on_loop(worker.state_limit, self.random.choice([0.5, 1.5, 4.0]))
        return self._fault("states a rate limit:", worker.name, lambda: self.site.call_on_loop(worker.state_limit, None), 2.0, 8.0)

    def delay_orders(self):
        worker = self._pick_worker(engines_only=True)
        if not worker:
            return None
        worker.unanswered_orders, worker.late_order_delay = self.random.randint(1, 3), self.random.choice([None, 0.5, 2.0])

        def undo():
            worker.unanswered_orders = 0
        return self._fault("orders delayed or lost", worker.name, undo)

    def drain_worker(self):
        plain = [it for it in self.site.workers.values() if not isinstance(it, workers.Engine) and it.is_up and it.state == "ready"]
        if len(plain) < 2 or self._has_fault("a plain worker"):
            return None
        worker = self.random.choice(plain)
        if self._has_fault(worker.name):
            return None
        self.site.spawn(self.site.replace_plain_worker(worker, self.random.uniform(2.5, 4.0)))
        return self._fault("drained", "a plain worker", lambda: None, 4.5, 6.0)

    # Changes that an operator makes.

    def change_configuration(self):
        if any(it["prefix"] == EXTRA_PREFIX for it in self.site.routes):
            self.site.remove_route(EXTRA_PREFIX)
        else:
            self.site.add_route(EXTRA_PREFIX, "idempotent", "board", attempts=3)
        self.site.configure()
        return self._fault("configured", f"version {self.site.config_version}", lambda: None, 0.1, 0.5)
