"""Benchmarks: ``python -m benchmarks`` prints a table and optionally writes JSON."""
