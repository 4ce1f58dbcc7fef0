"""One runner as a process; SIGUSR1 lets it say that it leaves."""

import asyncio
import json
import signal
import sys

import scene


class Output:
    def write(self, text):
        print(text, flush=True)


class Here:
    record = Output()


async def run():
    settings = json.loads(sys.argv[1])
    runner = scene.Runner(
        Here(), settings["ip"], settings["service"],
        software=settings["software"], events=settings["events"],
        event_s=settings["event_s"], work_s=settings["work_s"],
        framing=settings["framing"])
    runner.port, runner.id = settings["port"], settings["id"]
    runner.born = settings["born"]

    def leave():
        runner.says_leaving = True
        runner.state = "draining"

    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, leave)
    await runner.listen()
    print("listens", flush=True)
    await asyncio.Event().wait()


asyncio.run(run())
