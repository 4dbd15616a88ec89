"""Event loop, sockets and store calls around the reducer for opaque flows."""
