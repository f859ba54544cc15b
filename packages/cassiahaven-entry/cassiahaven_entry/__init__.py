"""Entry process of the cassiahaven load balancer."""
