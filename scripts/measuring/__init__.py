"""Experiments that compare policies within one run, under the same load."""

from .catalogue import EXPERIMENTS
from .runner import POLICIES, Runner

__all__ = ["EXPERIMENTS", "POLICIES", "Runner"]
