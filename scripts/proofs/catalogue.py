"""The process proofs by name."""

PROOFS = {}
