"""Benchmarks: ``python -m benchmarks`` prints a table and writes JSON."""
