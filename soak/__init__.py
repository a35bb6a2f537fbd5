"""Randomized soak: real processes, faults from outside, promises checked.

``python -m soak --seed N`` plays one seed; the same seed draws the same
faults, though not their exact interleaving.
"""
