"""Jitter for the times after which callers retry."""

MAX_JITTER = 0.5


def jittered_ms(random, base_ms):
    """Return ``base_ms`` plus up to 50 % random jitter, so that callers do not retry all at once.

    :param random: a :class:`random.Random`.
    """
    return round(base_ms * (1.0 + MAX_JITTER * random.random()))
