"""Proofs under failure: fakes at the proxy's interfaces, checkers over histories, the matrix."""
