"""Sockets, clocks and calls around the reducer for opaque flows."""
