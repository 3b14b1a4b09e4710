"""Ends the processes of a script that was killed, and removes its folder.

The script writes a line for each process that it starts, and ``done`` once it has
ended them itself. If its end of the pipe closes before that, it was killed.
"""

import contextlib
import os
import shutil
import signal
import sys


def main() -> None:
    """Wait for the script to end."""
    pids = []
    for line in sys.stdin:
        if line.strip() == "done":
            return
        pids.append(int(line))
    for pid in pids:
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, signal.SIGKILL)
    shutil.rmtree(sys.argv[1], ignore_errors=True)


if __name__ == "__main__":
    main()
