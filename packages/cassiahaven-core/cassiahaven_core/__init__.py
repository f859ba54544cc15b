"""Decision logic of the cassiahaven load balancer, without I/O or clocks."""
