"""Scatter-gather: fans a request out over shards, merges the answers, reports coverage."""

from .coordinator import Coordinator
from .coverage import Coverage, Gap, Outcome
from .messages import Answer, Search

__all__ = ["Answer", "Coordinator", "Coverage", "Gap", "Outcome", "Search"]
