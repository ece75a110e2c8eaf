"""A test of the gateway's memory: all replicas of a site send bytes without end
on all connections that the gateway may open."""
