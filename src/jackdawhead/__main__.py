"""Entry point of ``python -m jackdawhead``."""

from __future__ import annotations

from .cli.run import main

if __name__ == '__main__':
    main()
