"""Proofs over real processes, with failures from a seeded schedule."""
