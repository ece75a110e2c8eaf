"""Experiments: policies compared within one run, under one load."""

from .catalogue import EXPERIMENTS
from .runner import POLICIES, Runner

__all__ = ["EXPERIMENTS", "POLICIES", "Runner"]
