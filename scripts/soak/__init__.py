"""A randomized soak test: real gateway processes on loopback, with faults
injected from outside them. The checks use only what callers and replicas
observe."""
