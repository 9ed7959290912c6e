"""Load generator, baselines, deployments of stand-ins, scenarios and the demo."""
