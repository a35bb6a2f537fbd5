"""Demonstration: runs two federations of real processes with faults."""

import warnings

# eventlet warns at import that it is in maintenance mode.
warnings.filterwarnings('ignore', r'\s*Eventlet is deprecated')
