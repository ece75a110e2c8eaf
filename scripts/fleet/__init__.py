"""Starts the stand-ins and the daemons of one deployment on loopback."""

from .fleet import Fleet, FleetError
from .http import call

__all__ = ["Fleet", "FleetError", "call"]
