"""Model checking of the core's code in small bounded systems."""
