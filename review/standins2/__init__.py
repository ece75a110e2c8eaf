"""Stand-ins on loopback for the cases of the second review: the platform's
store, replicas, clients, and the gateway's processes. Standard library only."""
