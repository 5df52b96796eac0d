"""Run a node that passes requests on: ``python -m auburnhollow_node.relay SETTINGS``."""

import gc

# Nothing that is made during the imports is garbage.
gc.disable()

from .main import main  # noqa: E402

if __name__ == "__main__":
    main()
