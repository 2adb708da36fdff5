"""Compares the outcomes of non-idempotent commands at the callers with their executions at the endpoints."""


def runs_by_key(record):
    """Number of executions of each key over all endpoints."""
    runs = {}
    for endpoint in record:
        for key, count in endpoint['runsByKey'].items():
            runs[key] = runs.get(key, 0) + count
    return runs


def has_outcome(responses, outcome):
    """Whether any response, such as `not_run:no_owner`, has this outcome."""
    return any(each.split(':')[0] == outcome for each in responses)


def compare(results, record):
    """Counts violations of at-most-once. `results` are the bulrush-load results of the commands."""
    runs = runs_by_key(record)
    outcomes = {}
    for result in results:
        outcomes.update(result['outcomesByKey'])
    false_not_run = [responses for key, responses in outcomes.items()
                     if has_outcome(responses, 'not_run') and runs.get(key, 0) > 0]
    return {
        'commands': len(outcomes),
        'commands run twice': sum(1 for count in runs.values() if count > 1),
        'not_run that ran': len(false_not_run),
        'answers to those': str(false_not_run[:5]),
        'answered that never ran': sum(
            1 for key, responses in outcomes.items() if has_outcome(responses, 'answered') and runs.get(key, 0) == 0),
        'runs without a command': sum(1 for key in runs if key not in outcomes),
        'share of unknown': sum(
            1 for responses in outcomes.values() if has_outcome(responses[-1:], 'unknown')) / max(1, len(outcomes)),
        'share answered': sum(
            1 for responses in outcomes.values() if has_outcome(responses, 'answered')) / max(1, len(outcomes)),
    }
