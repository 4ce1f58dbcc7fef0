"""A small HTTP/1.1 server with kept connections, one thread a connection."""

import socket
import threading


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target = method, target
        # Names are lower case.
        self.headers, self.body = headers, body

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)


class Response:
    """A response. `parts` is an iterable of pieces that are sent in chunks as
    they come, in place of a body."""

    def __init__(self, status, body=b"", headers=(), parts=None):
        self.status, self.body = status, body
        self.headers, self.parts = list(headers), parts


class Server:
    def __init__(self, ip, handler, port=0):
        self.handler = handler
        self.open = set()
        self.listener = socket.create_server((ip, port), backlog=256)
        self.port = self.listener.getsockname()[1]
        self.address = f"{ip}:{self.port}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.open.add(connection)
            threading.Thread(target=self.serve, args=(connection,),
                             daemon=True).start()

    def stop_listening(self):
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()

    def serve(self, connection):
        reader = connection.makefile("rb")
        try:
            while request := read_request(reader):
                response = self.handler(request)
                if response is None:
                    break
                send(connection, response)
        except (OSError, ValueError):
            pass
        finally:
            self.open.discard(connection)
            # A parked reader keeps the descriptor open.
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            reader.close()
            connection.close()


def read_request(reader):
    line = reader.readline(65536)
    if not line.strip():
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while (line := reader.readline(65536)).strip():
        name, value = line.decode("latin-1").split(":", 1)
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int(reader.readline().split(b";")[0], 16):
            body += reader.read(size)
            reader.readline()
        reader.readline()
    elif length := int(headers.get("content-length", 0)):
        body = reader.read(length)
        if len(body) < length:
            return None
    return Request(method, target, headers, body)


def send(connection, response):
    lines = [f"HTTP/1.1 {response.status} Status"]
    lines += [f"{name}: {value}" for name, value in response.headers]
    if response.parts is None:
        lines.append(f"Content-Length: {len(response.body)}")
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        connection.sendall(head + response.body)
        return
    lines.append("Transfer-Encoding: chunked")
    connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")
    for part in response.parts:
        connection.sendall(b"%x\r\n%s\r\n" % (len(part), part))
    connection.sendall(b"0\r\n\r\n")
