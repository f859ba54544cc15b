"""Operators' command line for the cassiahaven load balancer."""
