"""Stand-ins on loopback that speak the users' platform's published protocol:
its store, replicas, and a proxy that harms connections."""
