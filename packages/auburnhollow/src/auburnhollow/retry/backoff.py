"""When to come back."""

SPREAD = 0.5


def jittered_ms(random, base_ms):
    """Return ``base_ms`` lengthened by up to half of itself, so that callers do not return at once.

    :param random: a :class:`random.Random`.
    """
    return round(base_ms * (1.0 + SPREAD * random.random()))
