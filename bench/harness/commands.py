"""What became of non-idempotent commands: the callers' outcomes against the endpoints' runs."""


def runs_by_key(record):
    """How often each key ran, summed over all endpoints."""
    runs = {}
    for endpoint in record:
        for key, count in endpoint['runsByKey'].items():
            runs[key] = runs.get(key, 0) + count
    return runs


def compare(results, record):
    """Counts broken promises. `results` are the results of bulrush-load that sent the commands."""
    runs = runs_by_key(record)
    outcomes = {}
    for result in results:
        outcomes.update(result['outcomesByKey'])
    return {
        'commands': len(outcomes),
        'commands run twice': sum(1 for count in runs.values() if count > 1),
        'not_run that ran': sum(1 for key, seen in outcomes.items() if 'not_run' in seen and runs.get(key, 0) > 0),
        'answered that never ran': sum(
            1 for key, seen in outcomes.items() if 'answered' in seen and runs.get(key, 0) == 0),
        'runs without a command': sum(1 for key in runs if key not in outcomes),
        'share of unknown': sum(1 for seen in outcomes.values() if seen[-1] == 'unknown') / max(1, len(outcomes)),
        'share answered': sum(1 for seen in outcomes.values() if 'answered' in seen) / max(1, len(outcomes)),
    }
