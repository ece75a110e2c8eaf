"""A randomized soak: real gateway processes on loopback, faults from outside
them, and the promises checked from what callers and replicas see."""
