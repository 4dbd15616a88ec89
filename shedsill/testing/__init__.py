"""Test doubles of the surrounding systems, simulations and shared test helpers."""
