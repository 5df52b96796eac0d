"""Runs the node as ``python -m auburnhollow_node SETTINGS``."""

from .main import main

main()
