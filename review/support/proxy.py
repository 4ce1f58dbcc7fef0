"""A TCP proxy that can hold all bytes back, as a link that is cut does."""

import socket
import threading
import time


class Proxy:
    def __init__(self, ip, target):
        self.target = target.rsplit(":", 1)
        self.is_cut = False
        self.listener = socket.create_server((ip, 0), backlog=64)
        self.address = f"{ip}:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            client, _ = self.listener.accept()
            threading.Thread(target=self.connect, args=(client,),
                             daemon=True).start()

    def connect(self, client):
        self.wait()
        try:
            server = socket.create_connection(
                (self.target[0], int(self.target[1])))
        except OSError:
            client.close()
            return
        for source, sink in ((client, server), (server, client)):
            source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.forward, args=(source, sink),
                             daemon=True).start()

    def wait(self):
        while self.is_cut:
            time.sleep(0.02)

    def forward(self, source, sink):
        try:
            while data := source.recv(65536):
                self.wait()
                sink.sendall(data)
        except OSError:
            pass
        self.wait()
        for end in (source, sink):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
