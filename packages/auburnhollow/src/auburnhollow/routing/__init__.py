"""Selects the shards of a request and the replica that is called for each."""

from .ejection import Ejection
from .plan import Plan, plan_request
from .replicas import ReplicaChoice

__all__ = ["Ejection", "Plan", "ReplicaChoice", "plan_request"]
