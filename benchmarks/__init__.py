"""Benchmarks of the balancing policy, of the added latency and of the control overhead."""
