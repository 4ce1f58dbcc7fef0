"""The store returns from a copy that is older than a release, while gateways
restart: streams that consumers take up again hold events of two versions."""

import asyncio
import itertools
import pathlib
import random
import sys
import time

import scene as s

GATEWAYS, STREAMS = 3, 100
EVENTS, EVENT_S = 50, 0.25
BUDGET_S = 15
# The store is away for so long.
AWAY_S = 2.0
# A gateway that was killed starts again after so long.
RESTART_S = 0.5
# Runners write their entries about so often. After the return of the store each
# of them writes at its next turn.
HEARTBEAT_S = 1.2


class Stream:
    """A consumer's stream over all of its attempts."""

    def __init__(self, scene, number, balancer):
        self.scene, self.number, self.balancer = scene, number, balancer
        self.events = []
        self.first_request = None
        self.resumed_by = []

    async def run(self):
        deadline = time.monotonic() + BUDGET_S
        for attempt in itertools.count():
            left = deadline - time.monotonic()
            if left <= 0.3 or attempt > 8:
                return
            request = f"s{self.number:03d}-{attempt}"
            pause = await self.attempt(request, left)
            if pause is None:
                return
            # Retry-After counts up to a third of the time left; pauses grow.
            pause = min(pause, (deadline - time.monotonic()) / 3)
            await asyncio.sleep(max(pause, random.uniform(0.2, 0.4) *
                                    min(attempt + 1, 3)))

    async def attempt(self, request, left):
        """Returns after which pause to try again; None: the stream ended."""
        gateway = await self.balancer.choose()
        channel = s.Channel(gateway)
        more = []
        if self.events:
            more = [("Last-Event-Id", self.events[-1][0]),
                    ("Resumes", self.first_request)]
        try:
            await channel.open()
            await channel.send("ask", request, left * 1000, more=more)
            head = await asyncio.wait_for(channel.head(), left)
            if head is None:
                self.note(request, gateway, "closed without an answer")
                return 0.3
            status, headers = head
            if status != 200:
                self.note(request, gateway, f"status {status} retry-after "
                          f"{headers.get('retry-after')}")
                async for _ in channel.body(headers):
                    pass
                return float(headers.get("retry-after", 0.3))
            text = b""
            seen = False
            async with asyncio.timeout(left):
                async for part in channel.body(headers):
                    text += part
                    while b"\n\n" in text:
                        event, _, text = text.partition(b"\n\n")
                        number, data = event.decode().split("\n")
                        version = data.split("@")[1]
                        if not seen:
                            seen = True
                            self.note(request, gateway, "event "
                                      f"{number[4:]} of {version}")
                        if not self.events:
                            self.first_request = request
                        self.events.append((int(number[4:]), version))
            self.note(request, gateway, "complete")
            return None
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                ValueError) as reason:
            self.note(request, gateway, f"broken off ({type(reason).__name__})")
            return 0.3
        finally:
            channel.close()

    def note(self, request, gateway, what):
        self.scene.record.write(f"consumer {request} at {gateway.name}: {what}")

    def versions(self):
        return {version for _, version in self.events}


class Balancer:
    """Forwards consumers to gateways that say they are ready."""

    def __init__(self, gateways):
        self.gateways = gateways
        self.rotation = set(gateways)

    async def follow(self):
        while True:
            for gateway in self.gateways:
                if await gateway.ready():
                    self.rotation.add(gateway)
                else:
                    self.rotation.discard(gateway)
            await asyncio.sleep(0.25)

    async def choose(self):
        return random.choice(sorted(self.rotation or set(self.gateways),
                                    key=lambda gateway: gateway.number))


async def case(scene):
    store, record = scene.store, scene.record
    config = s.configuration(7, [s.route("ask", "streaming", "engines", 2)])
    await scene.start_store(config)
    for _ in range(3):
        await scene.add_runner("engines", software="v1", events=EVENTS,
                               event_s=EVENT_S)
    for _ in range(GATEWAYS):
        await scene.add_gateway()
    for runner in scene.runners:
        scene.add_agent(runner)
    await scene.wait_ready()
    await scene.wait(lambda: b"v1" in store.values("version_regimes").get(
        "engines", b""), 10, "the gateways know the version")
    await asyncio.sleep(1)
    store.take_copy()
    record.write("the store is copied")
    await asyncio.sleep(1)
    # The first runner of a release serves beside the others.
    runner = await scene.add_runner("engines", software="v2", events=EVENTS,
                                    event_s=EVENT_S)
    scene.add_agent(runner)
    await asyncio.sleep(1.5)
    record.write(f"regimes: {store.values('version_regimes')}")

    balancer = Balancer(scene.gateways)
    following = asyncio.create_task(balancer.follow())
    streams = [Stream(scene, number, balancer) for number in range(STREAMS)]
    tasks = [asyncio.create_task(stream.run()) for stream in streams]
    await asyncio.sleep(2)
    begun = sum(bool(stream.events) for stream in streams)
    if begun < STREAMS / 2:
        raise s.CannotRun(f"only {begun} of {STREAMS} streams began")
    before = {stream.number: set(stream.versions()) for stream in streams}

    if s.TROUBLE:
        record.write("the store goes away")
        store.leave()
        for gateway in scene.gateways:
            gateway.kill()
        await asyncio.sleep(RESTART_S)
        for gateway in scene.gateways:
            gateway.start()
        await asyncio.sleep(AWAY_S - RESTART_S)
        store.return_from_copy()
        await store.listen()
        record.write(f"the store is back from the copy, era {store.era}")
        # What the operator and the runners wrote is written again.
        store.put_json("op", "config", config)
        store.put_json("op", f"version/{s.MODEL}",
                       {"model": s.MODEL, "version": 1})

        async def write_again(runner):
            await asyncio.sleep(random.uniform(0.75, 1) * HEARTBEAT_S)
            runner.register()

        await asyncio.gather(*map(write_again, scene.runners))
    await asyncio.gather(*tasks)
    following.cancel()
    mixed = [stream for stream in streams if len(stream.versions()) > 1]
    whole = [stream for stream in streams
             if [number for number, _ in stream.events] ==
             list(range(1, EVENTS + 1))]
    for stream in mixed:
        record.write(f"stream {stream.number} began at "
                     f"{before[stream.number]} and holds {stream.versions()}")
    record.write(f"{len(mixed)} of {STREAMS} streams hold events of two "
                 f"versions, {len(whole)} are whole; at most 2 may be mixed")
    return len(mixed) <= 2


s.main(pathlib.Path(__file__).parent, case)
