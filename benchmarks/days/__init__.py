"""Days of the project's own for the users' bench."""
