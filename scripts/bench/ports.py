"""Blocks of ports on loopback, below those that the system hands out."""

import fcntl
import os
import socket

FIRST_PORT = 20000
BLOCK_PORTS = 100
BLOCKS = 59
LOCK_DIR = "/tmp/gooseberrywing-ports"


def _is_free(port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
            return True
        except OSError:
            return False


class PortBlock:
    """Ports that no other block holds for as long as this process lives."""

    def __init__(self):
        os.makedirs(LOCK_DIR, exist_ok=True)
        for block in range(BLOCKS):
            lock = open(f"{LOCK_DIR}/{block}.lock", "w")
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                lock.close()
                continue
            self._lock = lock
            self._next = FIRST_PORT + block * BLOCK_PORTS
            self._end = self._next + BLOCK_PORTS
            return
        raise RuntimeError("no free block of ports")

    def address(self):
        """The next free `IP:PORT` of the block."""
        while self._next < self._end:
            port = self._next
            self._next += 1
            if _is_free(port):
                return f"127.0.0.1:{port}"
        raise RuntimeError("the block of ports is used up")
