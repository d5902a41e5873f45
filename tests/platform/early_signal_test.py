"""Sends a signal to a program while it reads its settings: early_signal_test.py PROGRAM SIGNAL

Guards against a process that ends by a reload, or is stopped without its own exit code, because the signal arrives right
after its start. The settings file is a pipe, so that the program is known to read it when the signal is sent. Exits 0 if
the program lives on and then reports the faults of the settings.
"""
import os
import signal
import subprocess
import sys
import tempfile

INVALID_SETTINGS_CODE = 2
TIMEOUT_S = 20


def main():
    program, name = sys.argv[1:]
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "settings.json")
        os.mkfifo(path)
        process = subprocess.Popen([program, "--settings", path], stderr=subprocess.DEVNULL)
        # Opening waits until the program has opened the other end.
        with open(path, "w", encoding="utf-8") as settings:
            process.send_signal(getattr(signal, name))
            try:
                settings.write("{}")
            except BrokenPipeError:
                pass
        code = process.wait(TIMEOUT_S)
    print(f"{program} ended with {code} after {name}")
    return 0 if code == INVALID_SETTINGS_CODE else 1


if __name__ == "__main__":
    sys.exit(main())
