"""Which shards a request reaches and which replica of each is asked."""

from .ejection import Ejection
from .plan import Plan, plan_request
from .replicas import ReplicaChoice

__all__ = ["Ejection", "Plan", "ReplicaChoice", "plan_request"]
