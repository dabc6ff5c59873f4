"""Starts the stand-ins of a deployment, prints their ids and waits."""

import asyncio
import json
import sys

from filbertstep import deployment


async def hold(directory: str) -> None:
    """Wait inside a deployment until the process is told to end."""
    made = deployment.Deployment(
        deployment.load_plan('huon-burr'), deployment.Options(directory)
    )
    async with made:
        pids = [
            made.processes.pid(name) for name in made.processes.popen_by_name
        ]
        print(json.dumps(pids), flush=True)
        await asyncio.sleep(60)


if __name__ == '__main__':
    asyncio.run(hold(sys.argv[1]))
