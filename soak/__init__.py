"""Randomized soak test of real processes under injected faults.

``python -m soak --seed N`` runs one seed. The same seed selects the same
faults, though not their exact interleaving.
"""
