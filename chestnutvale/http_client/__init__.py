"""HTTP/1.1 client parts with limits in bytes and deadlines for whole answers."""
