"""A stand-in of the platform's store."""

import asyncio
import base64
import json
import random

from . import http

SLOW_SECONDS = 0.3


class Store:
    """Keeps rows in memory; `mode` says how it fails."""

    MODES = ("down", "reset", "silent", "slow", "lost")

    def __init__(self, seed):
        self.mode = None
        self._random = random.Random(seed)
        self._tables = {}
        self._version = 0
        self._server = http.Server(self._serve)

    async def start(self, ip, port):
        await self._server.start(ip, port)

    def stop(self):
        self._server.stop()

    def put(self, table, key, content):
        """Writes a row as an operator; the content is kept as JSON."""
        text = base64.b64encode(json.dumps(content).encode()).decode()
        self._version += 1
        self._tables.setdefault(table, {})[key] = (text, self._version)

    def remove(self, table, key):
        self._version += 1
        self._tables.get(table, {}).pop(key, None)

    async def _serve(self, request):
        if self.mode == "down":
            return http.Response(503)
        if self.mode == "reset":
            raise http.Reset
        if self.mode == "silent":
            raise http.NoAnswer
        if self.mode == "slow":
            await asyncio.sleep(SLOW_SECONDS)
        if request.path == "/rows-get":
            return self._read(request)
        if request.path != "/rows-tx":
            return http.Response(404)
        response = self._write(request.json())
        if self.mode == "lost" and self._random.random() < 0.5:
            raise http.Reset
        return response

    def _read(self, request):
        rows = self._tables.get(request.query["table"], {})
        first = request.query.get("from", "")
        listed = [{"table": request.query["table"], "part": "", "key": key,
                   "value": rows[key][0], "rowVersion": rows[key][1]}
                  for key in sorted(rows) if key >= first]
        return http.Response(200, {"rows": listed, "morePages": False,
                                   "rowVersion": self._version})

    def _write(self, change):
        for row in change.get("expectedRev", []):
            known = self._tables.get(row["table"], {}).get(row["key"])
            if (known[1] if known else 0) != row["rowVersion"]:
                return http.Response(412, {"rows": []})
        self._version += 1
        for row in change.get("writes", []):
            self._tables.setdefault(row["table"], {})[row["key"]] = (
                row["value"], self._version)
        for row in change.get("remove", []):
            self._tables.get(row["table"], {}).pop(row["key"], None)
        return http.Response(200, {"rowVersion": self._version})
