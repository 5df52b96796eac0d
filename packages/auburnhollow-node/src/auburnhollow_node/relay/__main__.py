"""Run a node that passes requests on: ``python -m auburnhollow_node.relay SETTINGS``."""

from .main import main

if __name__ == "__main__":
    main()
