"""The I/O of a node around the core: sockets, timers, HTTP and the store."""
