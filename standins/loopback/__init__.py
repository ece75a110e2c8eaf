"""Stand-ins on loopback for the users' platform, which implement its published
protocol: its store, replicas, and a proxy that injects connection faults."""
