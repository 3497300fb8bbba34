"""Entry point of ``python -m jackdawhead``."""

from __future__ import annotations

import sys

from .cli.run import run

if __name__ == '__main__':
    sys.exit(run(sys.argv[1:]))
