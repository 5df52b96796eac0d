"""When to send a part of a search to a second server.

It answers the load of a search over many shards, some of whose servers pause, with an objective
that is short beside the way to the next server: there a hedge that is sent when a call is plainly
late is answered only after the objective has passed.
"""

# By twice the typical work time, nine of ten second calls are answered.
SECOND_CALL_WORK = 2.0
# Below this multiple of the typical work time, most calls that are still open are on their way.
LEAST_WORK = 1.3


def hedge_at_ms(began_ms, late_ms, answer_by_ms, round_trips_ms, work_ms):
    """Return when to send a hedge for a call: when it is late, or early enough to be of use.

    An early time holds only while the budget for repeats has room, as it costs more hedges.

    :param began_ms: when the call began.
    :param late_ms: when it counts as late.
    :param answer_by_ms: when a second answer must be there to count.
    :param round_trips_ms: round-trip times of the call's server and of the nearest other one.
    :param work_ms: the route's typical work time.

    >>> hedge_at_ms(0.0, 60.0, 120.0, (1.0, 25.0), 20.0)
    55.0
    """
    round_trip_ms, second_round_trip_ms = round_trips_ms
    useful_ms = answer_by_ms - second_round_trip_ms - SECOND_CALL_WORK * work_ms
    least_ms = began_ms + round_trip_ms + LEAST_WORK * work_ms
    return min(late_ms, max(useful_ms, least_ms))
