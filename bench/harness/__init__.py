"""Code shared by the experiments of bench/run."""
