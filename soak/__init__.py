"""Fault soak: real serving processes beside stand-ins, under series of overlapping faults."""
