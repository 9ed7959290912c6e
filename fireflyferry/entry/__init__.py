"""The entry program: public server, peer server, control loop and request forwarding."""
