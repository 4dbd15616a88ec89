"""Run the command line as ``python -m shedsill``."""

from __future__ import annotations

from shedsill._cli import main

if __name__ == "__main__":
    main()
