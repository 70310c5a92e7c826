"""Runs the command-line tool when invoked as ``python -m papayalock``."""

import sys

from papayalock.ui import main

sys.exit(main())
