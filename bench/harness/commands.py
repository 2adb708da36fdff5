"""What became of non-idempotent commands: the callers' outcomes against the endpoints' runs."""


def runs_by_key(record):
    """How often each key ran, summed over all endpoints."""
    runs = {}
    for endpoint in record:
        for key, count in endpoint['runsByKey'].items():
            runs[key] = runs.get(key, 0) + count
    return runs


def has(seen, outcome):
    """Whether an answer such as `not_run:no_owner` has this outcome."""
    return any(each.split(':')[0] == outcome for each in seen)


def compare(results, record):
    """Counts broken promises. `results` are the results of bulrush-load that sent the commands."""
    runs = runs_by_key(record)
    outcomes = {}
    for result in results:
        outcomes.update(result['outcomesByKey'])
    lies = [seen for key, seen in outcomes.items() if has(seen, 'not_run') and runs.get(key, 0) > 0]
    return {
        'commands': len(outcomes),
        'commands run twice': sum(1 for count in runs.values() if count > 1),
        'not_run that ran': len(lies),
        'answers to those': str(lies[:5]),
        'answered that never ran': sum(
            1 for key, seen in outcomes.items() if has(seen, 'answered') and runs.get(key, 0) == 0),
        'runs without a command': sum(1 for key in runs if key not in outcomes),
        'share of unknown': sum(1 for seen in outcomes.values() if has(seen[-1:], 'unknown')) / max(1, len(outcomes)),
        'share answered': sum(1 for seen in outcomes.values() if has(seen, 'answered')) / max(1, len(outcomes)),
    }
