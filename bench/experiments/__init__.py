"""One module per experiment, which defines SECONDS and run(folder, deployment, seed, seconds)."""
