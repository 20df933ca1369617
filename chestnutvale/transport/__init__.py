"""One-way messages between the processes of the system, over pynng."""
