"""Load generator, scenarios, results and reports."""
