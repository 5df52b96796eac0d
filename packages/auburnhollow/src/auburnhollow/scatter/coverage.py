"""Coverage: the shards of a request that an answer includes."""

from enum import StrEnum

from ..records import Record


class Gap(StrEnum):
    """Why a shard is missing from an answer."""

    NO_REPLICA = "no-replica"
    DEADLINE = "deadline"
    LACKS_VERSION = "lacks-version"
    REFUSED = "refused"
    FAILED = "failed"
    PARTIAL = "partial"


class Outcome(Record):
    """The result of one shard: rows, or a gap, or both when the server's answer was partial."""

    __slots__ = ("shard", "rows", "gap", "detail")

    @classmethod
    def answered(cls, shard, rows):
        """Return the outcome of a shard that answered in full."""
        return cls(shard=shard, rows=rows, gap=None, detail=None)

    @classmethod
    def partial(cls, shard, rows):
        """Return the outcome of a shard whose server reported a partial answer."""
        return cls(shard=shard, rows=rows, gap=Gap.PARTIAL, detail="reported by the server")

    @classmethod
    def missing(cls, shard, gap, detail=None):
        """Return the outcome of a shard without any rows."""
        return cls(shard=shard, rows=[], gap=gap, detail=detail)


class Coverage:
    """Which of the shards that were asked have answered, by name.

    It takes exactly one :class:`Outcome` for each shard that was asked, so that no shard is left
    out or counted twice.

    :param shards: names of all shards in the plan.
    :param outcomes: one :class:`Outcome` for each of them, in any order.
    :raises ValueError: when a shard has no outcome, or more than one, or was not asked.

    >>> Coverage(["a", "b"], [Outcome.answered("a", []), Outcome.missing("b", Gap.DEADLINE)])
    Coverage(1 of 2)
    """

    __slots__ = ("_gaps", "_shards")

    def __init__(self, shards, outcomes):
        by_shard = {outcome.shard: outcome for outcome in outcomes}
        if len(by_shard) != len(outcomes) or set(by_shard) != set(shards):
            raise ValueError("coverage needs exactly one outcome for each shard")
        self._shards = tuple(shards)
        self._gaps = {}
        for shard in self._shards:
            outcome = by_shard[shard]
            if outcome.gap is not None:
                self._gaps[shard] = outcome

    def __repr__(self):
        return f"Coverage({self.answered} of {self.asked})"

    @property
    def asked(self):
        """How many shards were asked."""
        return len(self._shards)

    @property
    def answered(self):
        """How many shards answered in full."""
        return len(self._shards) - len(self._gaps)

    @property
    def is_complete(self):
        """Whether every shard answered in full."""
        return not self._gaps

    @property
    def gaps(self):
        """The :class:`Outcome` of each shard that did not answer in full, by name."""
        return dict(self._gaps)

    def to_map(self):
        """Return the JSON object for callers."""
        missing = []
        for shard, outcome in self._gaps.items():
            missing.append({"shard": shard, "reason": outcome.gap.value, "detail": outcome.detail})
        return {
            "complete": self.is_complete,
            "asked": self.asked,
            "answered": self.answered,
            "shards": list(self._shards),
            "missing": missing,
        }


def merge_rows(outcomes, count):
    """Return the best ``count`` rows, best first.

    A row that several shards hold, as after a split, is included once. Ties are broken by id, so
    that the order does not depend on which shard answered first.
    """
    best = {}
    for outcome in outcomes:
        for row in outcome.rows:
            known = best.get(row["id"])
            if known is None or row["score"] > known["score"]:
                best[row["id"]] = row
    rows = sorted(best.values(), key=lambda row: (-row["score"], str(row["id"])))
    return rows[:count]
