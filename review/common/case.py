"""Runs a case: exit code 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
import asyncio
import os
import shutil
import sys
import tempfile
import traceback

from standin import Record


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run(script, play, limit=110.0):
    """`play(folder, record, nodes)` returns the list of breaks of the rule; it adds each node that it starts to `nodes`."""
    record = Record(os.path.join(os.path.dirname(os.path.abspath(script)), "record.txt"))
    record.line(f"trouble: {'yes' if trouble() else 'no'}")
    folder, nodes, code = tempfile.mkdtemp(prefix="review-"), [], 2

    async def limited():
        loop = asyncio.get_running_loop()
        # Stand-ins that are still serving when the case ends are cancelled; that is no error.
        loop.set_exception_handler(lambda _, context: None)
        return await asyncio.wait_for(play(folder, record, nodes), limit)

    try:
        breaks = asyncio.run(limited())
        for text in breaks:
            record.line("BROKEN: " + text)
        code = 1 if breaks else 0
    except BaseException:
        record.line("could not run: " + traceback.format_exc())
    finally:
        for node in nodes:
            node.end()
        shutil.rmtree(folder, ignore_errors=True)
    record.line(f"exit code {code}")
    record.close()
    print(f"exit code {code}")
    sys.exit(code)
