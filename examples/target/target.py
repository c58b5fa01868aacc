#!/usr/bin/env python3
"""A target in the standard library alone: it answers each task with its payload
in upper case. usage: target.py AGENT_HTTP NAME SERVICE [SLOTS]"""

import http.client
import json
import signal
import sys
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

LEASE_MS = 3000


class TaskHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"  # Keeps the agent's connections.
    disable_nagle_algorithm = True

    def do_POST(self):
        payload = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if self.path != "/v1/tasks":
            self.answer(404, b"no such path\n")
        elif payload == b"fail":
            self.answer(500, b"asked to fail\n")
        else:
            self.answer(200, payload.upper())

    def answer(self, status, body):
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format, *args):
        pass


def call_agent(agent, method, name, body=None):
    connection = http.client.HTTPConnection(agent, timeout=1)
    try:
        connection.request(method, f"/v1/targets/{name}", body)
        reply = connection.getresponse()
        if reply.status != 200:
            print(f"{method} {name}: {reply.read().decode()}", file=sys.stderr)
    except OSError as error:
        print(f"{method} {name}: {error}", file=sys.stderr)
    finally:
        connection.close()


def main():
    agent, name, service = sys.argv[1:4]
    slots = int(sys.argv[4]) if len(sys.argv) > 4 else 8
    leaving = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: leaving.set())
    server = ThreadingHTTPServer(("127.0.0.1", 0), TaskHandler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    announcement = json.dumps({
        "address": f"127.0.0.1:{server.server_port}",
        "services": [service],
        "slots": slots,
        "lease_ms": LEASE_MS,
    })
    while not leaving.is_set():
        call_agent(agent, "PUT", name, announcement)
        leaving.wait(LEASE_MS / 1000 / 3)
    call_agent(agent, "DELETE", name)
    wait_until_idle(agent, name)
    server.shutdown()


def wait_until_idle(agent, name):
    """Running tasks still have to be answered."""
    while True:
        connection = http.client.HTTPConnection(agent, timeout=1)
        try:
            connection.request("GET", f"/v1/targets/{name}")
            reply = connection.getresponse()
            state = json.loads(reply.read())
            if reply.status == 404 or state["running"] == 0:
                return
        except OSError:
            return
        finally:
            connection.close()
        threading.Event().wait(0.05)


if __name__ == "__main__":
    main()
