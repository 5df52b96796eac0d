"""Fan-out of a request over shards, merge of the answers, coverage."""

from .coordinator import Coordinator
from .coverage import Coverage, Gap, Outcome
from .messages import Answer, Search

__all__ = ["Answer", "Coordinator", "Coverage", "Gap", "Outcome", "Search"]
