"""Stand-in for the platform's metadata store: tables, transactions, feeds."""

import base64
import json
import threading
import time
import urllib.parse

import web


class Store:
    """Keeps rows by table, part and key. One counter gives the versions."""

    TRANSACTION_S = 0.005
    MAX_PAGE = 500

    def __init__(self, ip):
        self.rows = {}
        self.version = 0
        self.changed = threading.Condition()
        self.server = web.Server(ip, self.serve)
        self.address = self.server.address

    def put(self, table, key, document, part=""):
        """Writes a row as the operator or a runner; None removes it."""
        value = None if document is None else json.dumps(document).encode()
        with self.changed:
            return self.write((table, part, key), value)

    def write(self, name, value):
        self.version += 1
        self.rows[name] = (self.version, value)
        self.changed.notify_all()
        return self.version

    def live_version(self, name):
        version, value = self.rows.get(name, (0, None))
        return version if value is not None else 0

    def describe(self, name):
        version, value = self.rows[name]
        row = {"table": name[0], "part": name[1], "key": name[2],
               "ver": version}
        if value is None:
            row["tombstone"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def serve(self, request):
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        calls = {"/rows-tx": self.transact, "/rows-get": self.read,
                 "/rows-feed": self.feed, "/rows-parts": self.parts}
        if url.path not in calls:
            return web.Response(404)
        status, document = calls[url.path](query, request.body)
        return web.Response(status, json.dumps(document).encode(), [
            ("Content-Type", "application/json"), ("Store-Era", "1")])

    def document(self, **fields):
        return fields | {"ver": self.version,
                         "nowMs": int(time.monotonic() * 1000)}

    def transact(self, _, body):
        time.sleep(self.TRANSACTION_S)
        transaction = json.loads(body)

        def name_of(row):
            return row["table"], row.get("part", ""), row["key"]

        puts = transaction.get("puts", [])
        removals = transaction.get("remove", [])
        if any(row["table"] in ("op", "servers") for row in puts + removals):
            return 403, {}
        with self.changed:
            expected = transaction.get("expected", [])
            if any(self.live_version(name_of(row)) != row["ver"]
                   for row in expected):
                found = [self.describe(name_of(row)) for row in expected
                         if self.live_version(name_of(row))]
                return 412, self.document(rows=found)
            for row in puts:
                self.write(name_of(row), base64.b64decode(row["value"]))
            for row in removals:
                if self.live_version(name_of(row)):
                    self.write(name_of(row), None)
            return 200, self.document()

    def read(self, query, _):
        first, end = query.get("from", ""), query.get("target")
        limit = min(int(query.get("limit", self.MAX_PAGE)), self.MAX_PAGE)
        with self.changed:
            names = sorted(
                name for name in self.rows
                if name[:2] == (query["table"], query.get("part", ""))
                and self.live_version(name) and name[2] >= first
                and (end is None or name[2] < end))
            return 200, self.document(
                rows=[self.describe(name) for name in names[:limit]],
                hasMore=len(names) > limit)

    def feed(self, query, _):
        after = int(query["after"])
        deadline = time.monotonic() + min(int(query["waitMs"]), 30000) / 1000

        def changes():
            names = [name for name, (version, _) in self.rows.items()
                     if name[0] == query["table"] and version > after]
            return sorted(names, key=lambda name: self.rows[name][0])

        with self.changed:
            self.changed.wait_for(
                changes, max(0.0, deadline - time.monotonic()))
            return 200, self.document(
                rows=[self.describe(name) for name in changes()])

    def parts(self, query, _):
        with self.changed:
            names = {name[1] for name in self.rows
                     if name[0] == query["table"] and self.live_version(name)}
            return 200, self.document(parts=sorted(names), hasMore=False)
