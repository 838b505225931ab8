"""Starts and stops the processes of a session and allocates free ports on the loopback address."""

import fcntl
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time

HOST = "127.0.0.1"
# The range lies below the ephemeral ports, so that no outgoing connection takes a port between its allocation and its use.
FIRST_PORT = 20000
LAST_PORT = 29999
START_TIMEOUT = 30.0  # seconds
STOP_TIMEOUT = 60.0  # seconds


def free_port():
    """Allocates ports round-robin across all sessions on this machine, so that a port is not reused soon."""
    path = pathlib.Path(tempfile.gettempdir()) / "bulrushstack-test-ports"
    with open(path, "a+") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        file.seek(0)
        text = file.read().strip()
        port = int(text) if text.isdigit() else FIRST_PORT
        while True:
            port = port + 1 if port < LAST_PORT else FIRST_PORT
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((HOST, port))
                except OSError:
                    continue
            file.seek(0)
            file.truncate()
            file.write(str(port))
            return port


def binary(name):
    """Returns the path of a built program in the folder that the environment variable SESSION_BIN names."""
    return str(pathlib.Path(os.environ["SESSION_BIN"]) / name)


class WallClock:
    """The wall clock of an instance, which can be shifted while the instance runs; see wall_clock_shift.cpp."""

    PROGRAM = "bulrushd_shifted_clock"

    def __init__(self, path):
        self.path = pathlib.Path(path)
        self.set_shift(0.0)

    def set_shift(self, seconds):
        """Shifts the clock by the given number of seconds from the true time."""
        self.path.touch()
        with open(self.path, "r+b") as file:
            file.write(f"{seconds:+020.6f}".encode())  # of fixed length, since the process may read it at any moment

    def environment(self):
        return {"WALL_CLOCK_SHIFT_FILE": str(self.path)}


class Process:
    """A child process whose output goes to a log file."""

    def __init__(self, name, program, flags, folder, wall_clock=None):
        self.name = name
        self.log_path = pathlib.Path(folder) / f"{name}.log"
        command = [binary(program)] + [f"--{key.replace('_', '-')}={value}" for key, value in flags.items()]
        environment = {k: v for k, v in os.environ.items() if not k.startswith("BULRUSH_")}
        environment.update(wall_clock.environment() if wall_clock else {})
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL, env=environment)

    @property
    def pid(self):
        return self.child.pid

    def is_running(self):
        return self.child.poll() is None

    def send_signal(self, number):
        """Sends a signal unless the process has exited."""
        if self.is_running():
            self.child.send_signal(number)

    def pause(self):
        self.send_signal(signal.SIGSTOP)

    def resume(self):
        self.send_signal(signal.SIGCONT)

    def kill(self):
        """Sends SIGKILL and waits for the process to exit."""
        self.send_signal(signal.SIGKILL)
        self.child.wait()

    def terminate(self):
        """Sends SIGTERM, resumes the process if it is suspended, and returns its exit status."""
        self.send_signal(signal.SIGTERM)
        self.resume()
        return self.wait()

    def wait(self):
        """Returns the exit status; kills the process and raises RuntimeError if it does not exit within STOP_TIMEOUT."""
        try:
            return self.child.wait(STOP_TIMEOUT)
        except subprocess.TimeoutExpired:
            self.kill()
            raise RuntimeError(f"{self.name} did not exit within {STOP_TIMEOUT:.0f} s; see {self.log_path}") from None


def wait_until(condition, what, timeout=START_TIMEOUT, interval=0.02):
    """Polls until the condition is true; raises RuntimeError that names the condition on a timeout."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(interval)
    raise RuntimeError(f"timed out waiting for: {what}")
