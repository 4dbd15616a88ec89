"""Thin `mode` services that carry out what the reducers decide."""
