"""Runs the commands as ``python -m auburnhollow_operator``."""

from .main import main

main()
