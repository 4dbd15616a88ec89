"""The project's own days for the external test bench."""
