"""Run comfreyarchd: sockets, timers, HTTP and the store round the core."""
