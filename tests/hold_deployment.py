"""Starts the stand-ins of a deployment, prints their process ids and waits.

A test ends this process with SIGTERM and checks that the stand-ins end too.
"""

import asyncio
import json
import sys

from filbertstep import deployment


async def run_standins(directory: str) -> None:
    """Run the stand-ins for 60 s or until SIGTERM."""
    deployed = deployment.Deployment(
        deployment.load_plan('huon-burr'), deployment.Options(directory)
    )
    async with deployed:
        pids = [
            deployed.processes.pid(name)
            for name in deployed.processes.popen_by_name
        ]
        print(json.dumps(pids), flush=True)
        await asyncio.sleep(60)


if __name__ == '__main__':
    asyncio.run(run_standins(sys.argv[1]))
