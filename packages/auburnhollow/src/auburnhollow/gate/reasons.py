"""Why a backend server may not get a request."""

from enum import StrEnum


class Reason(StrEnum):
    """Why a server may not get a request now; also a label of a metric."""

    OUT_OF_HOME = "out-of-home"
    EVACUATED = "evacuated"
    COLD_TURN = "cold-turn"
    HOLDS_OFF = "holds-off"
    LEAVING = "leaving"
    GONE = "gone"
