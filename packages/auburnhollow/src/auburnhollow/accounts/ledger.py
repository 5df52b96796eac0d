"""What client accounts have used, at the nodes that own their quotas.

Load that it answers: accounts that send many times their usual from one second to the next, beside
many that send less than a request per second; limits that fall far below what is sent.
"""

from ..clock import MS_PER_SECOND
from ..records import Record
from .quota_messages import QuotaAnswer

# What an owner that has just taken over grants at once: the owner before it may have spent the
# burst, and after a restart of all nodes every account has a new owner.
FIRST_TOKENS = 2.0
# Requests beyond the configured burst, out of the slack, so that ordinary jitter is not refused.
EXTRA_TOKENS = 4.0
# Part of excess and slack that shares may use; the rest covers what is admitted before a report.
SPENT_EXCESS = 0.5
# An owner that other nodes rank second cannot see what the first one grants.
DEPUTY_SHARE = 0.25
# An account with less than this part of its burst left is near its limit.
TIGHT_SHARE = 0.5


class QuotaBounds(Record):
    """The bound on all nodes together, in touch or not.

    In any ``window_ms`` no more than (rate x window + burst) x (1 + ``excess``) + ``slack``
    requests of an account run.
    """

    __slots__ = ("window_ms", "excess", "slack")

    def factor(self, rate_per_s, burst, share):
        """Return the part of a limit that nodes may grant who are ``share`` of all nodes, 0 to 1.

        The nodes that they do not see may do the same: the parts of all add up to the bound. Small
        accounts are granted all of it by each half of a divided fleet, since the slack allows it.
        """
        if share >= 1.0:
            return 1.0
        window = rate_per_s * self.window_ms / MS_PER_SECOND + burst
        allowed = 1.0 + self.excess * SPENT_EXCESS + self.slack * SPENT_EXCESS / window
        return min(1.0, share * allowed)


class Bucket:
    """A token bucket that may go negative, refilled as time passes.

    :param since_ms: from when on tokens count, in milliseconds of the caller's clock.
    """

    __slots__ = ("_updated_ms", "level", "promised_ms")

    def __init__(self, since_ms, level):
        self._updated_ms = since_ms
        self.level = level
        self.promised_ms = since_ms

    def refill(self, now_ms, rate_per_s, capacity):
        """Add the tokens since the last call; a lower capacity applies at once."""
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        self._updated_ms = now_ms
        self.level = min(capacity, self.level + elapsed_ms / MS_PER_SECOND * rate_per_s)

    def promise(self, now_ms, rate_per_s, longest_ms):
        """Return in how many milliseconds a refused request may come back, each in its turn."""
        turn_ms = MS_PER_SECOND / rate_per_s
        first_ms = now_ms + max(0.0, 1.0 - self.level) * turn_ms
        self.promised_ms = max(self.promised_ms + turn_ms, first_ms)
        self.promised_ms = min(self.promised_ms, now_ms + longest_ms)
        return self.promised_ms - now_ms


class QuotaLedger:
    """The buckets of the accounts that this node owns, or serves as a deputy for.

    :param bounds: :class:`QuotaBounds`.
    """

    __slots__ = ("_buckets", "_since_ms", "bounds")

    def __init__(self, bounds):
        self.bounds = bounds
        self._buckets = {}
        self._since_ms = None

    @property
    def names(self):
        """The names of the accounts that have a bucket."""
        return list(self._buckets)

    def start_over(self, now_ms):
        """Count tokens of accounts that get a bucket later from now on: owners have changed."""
        self._since_ms = now_ms

    def forget(self, names):
        """Drop the accounts that are not among ``names``."""
        self._buckets = {name: each for name, each in self._buckets.items() if name in names}

    def answer(self, ask, share, now_ms):
        """Return the :class:`QuotaAnswer` to a :class:`QuotaAsk`.

        :param share: which part of all nodes this one sees, 0 to 1.
        """
        if ask.rate_per_s is None:
            return QuotaAnswer(granted=ask.wanted, is_tight=False, retry_ms=0.0)
        factor = self.bounds.factor(ask.rate_per_s, ask.burst, share)
        rate_per_s = ask.rate_per_s * factor
        capacity = max(1.0, (ask.burst + EXTRA_TOKENS) * factor)
        bucket = self._buckets.get(ask.account)
        if bucket is None:
            since_ms = now_ms if self._since_ms is None else self._since_ms
            bucket = self._buckets[ask.account] = Bucket(since_ms, FIRST_TOKENS * factor)
        bucket.refill(now_ms, rate_per_s, capacity)
        bucket.level = min(capacity, bucket.level - ask.used)
        granted = max(0, min(ask.wanted, int(bucket.level)))
        bucket.level -= granted
        retry_ms = 0.0
        if granted < ask.wanted:
            retry_ms = bucket.promise(now_ms, rate_per_s, self.bounds.window_ms)
        is_tight = bucket.level < capacity * TIGHT_SHARE
        return QuotaAnswer(granted=granted, is_tight=is_tight, retry_ms=retry_ms)

    def levels(self):
        """Return the tokens left at the last question, by account."""
        return {name: round(bucket.level, 1) for name, bucket in sorted(self._buckets.items())}
