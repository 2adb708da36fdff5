"""One module for each experiment: SECONDS and run(folder, deployment, seed, seconds)."""
