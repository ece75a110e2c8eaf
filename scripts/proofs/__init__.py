"""Proofs that run real processes under a seeded schedule of failures."""
