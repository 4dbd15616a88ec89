"""Stand-ins for what surrounds the system, and asserts that tests share."""
