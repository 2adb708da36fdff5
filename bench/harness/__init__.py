"""What the experiments of bench/run share."""
