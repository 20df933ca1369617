"""One-way messages between the processes of a cluster, sent over pynng sockets."""
