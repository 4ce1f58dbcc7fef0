"""A runner runs part of the filings and fails them with a 503 that does not say
that they have not run."""

import asyncio
import itertools
import pathlib
import random
import time

import scene as s

GATEWAYS, RUNNERS, FILINGS = 2, 3, 120
# Of the disruption: share of the requests that fail, and its length.
FAILED_SHARE, FAULT_S = 0.4, 6.5


class Ledger(s.Runner):
    """Runs each filing; while it is at fault, it fails a share of them after
    that, as an application whose answer goes wrong does."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.fails_until = 0.0
        self.random = random.Random(self.number)
        self.filed = []

    async def answer(self, method, target, headers, body, writer):
        request = headers.get("request-id", "")
        if (headers.get("expect-instance") != self.id or
                time.monotonic() > self.fails_until or
                self.random.random() > FAILED_SHARE):
            kept = await super().answer(method, target, headers, body, writer)
            if self.runs and self.runs[-1][1] == request:
                self.filed.append((request, body.decode()))
            return kept
        self.runs.append((time.monotonic(), request))
        self.filed.append((request, body.decode()))
        self.scene.record.write(f"runner {self.id} runs {request} "
                                f"({body.decode()}) and answers 503")
        await asyncio.sleep(self.work_s)
        writer.write(s.response_bytes(
            503, self.common_headers(request) +
            [("Server-Stamp", f"{self.id}.{request}")], b"failed"))
        await writer.drain()
        return True


async def case(scene):
    await scene.start_store(s.configuration(
        7, [s.route("file", "non_idempotent", "ledger", 1, timeout_ms=1500)]))
    for _ in range(RUNNERS):
        runner = Ledger(scene, scene.next_ip(), "ledger")
        scene.runners.append(runner)
        await runner.start()
    for _ in range(GATEWAYS):
        await scene.add_gateway()
    await scene.wait_ready()
    await asyncio.sleep(3)
    answers = {}

    async def file(number):
        """A consumer's filing: it comes again only after a promise, once."""
        deadline = time.monotonic() + 1.5
        for attempt in itertools.count():
            request = f"f{number:03d}-{attempt}"
            gateway = scene.gateways[(number + attempt) % GATEWAYS]
            answer = await s.ask_once(
                gateway, "file", request, (deadline - time.monotonic()) * 1000,
                body=f"coupon-{number:03d}".encode())
            answers[request] = answer[0] if answer else None
            scene.record.write(f"consumer {request} at {gateway.name}: "
                               f"{answers[request]}")
            left = deadline - time.monotonic()
            if answers[request] not in (429, 503) or attempt or left < 0.3:
                return
            pause = float(answer[1].get("retry-after", 0.1))
            await asyncio.sleep(min(pause, left / 3))

    if s.TROUBLE:
        scene.runners[0].fails_until = time.monotonic() + FAULT_S
    tasks = []
    for number in range(FILINGS):
        tasks.append(asyncio.create_task(file(number)))
        await asyncio.sleep(FAULT_S / FILINGS)
    await asyncio.gather(*tasks)
    await asyncio.sleep(1)
    filed = [entry for runner in scene.runners for entry in runner.filed]
    ran = {request for request, _ in filed}
    broken = sorted(request for request, status in answers.items()
                    if status in (429, 503) and request in ran)
    coupons = [coupon for _, coupon in filed]
    doubled = {coupon for coupon in coupons if coupons.count(coupon) > 1}
    scene.record.write(
        f"{len(broken)} filings were answered 429 or 503 and have run; "
        f"{len(doubled)} coupons were recorded twice; the former must be 0")
    return not broken


s.main(pathlib.Path(__file__).parent, case)
