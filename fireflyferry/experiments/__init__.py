"""Load generator, baseline router, deployments on loopback, fault scenarios and the demo."""
