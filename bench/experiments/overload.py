"""Offered load from 0.5 to 3 times the capacity, compared with FIFO admission."""

from harness import figures as fig
from harness.fleet import CLIENT_LINK_MS, Fleet

SECONDS = 6
WARMUP_SECONDS = 3
FACTORS = [0.5, 1, 1.5, 2, 3]
BASELINE_FACTORS = [0.5, 1, 3]
MEAN_SERVICE_MS = 16
SIGMA = 0.2
FIFO = {'owner': {'admission': 'fifo'}}


def offered(deployment, factor):
    """Arrival rates: the first two caller classes at `factor` times their capacity, the others at half."""
    callers = [c['name'] for c in deployment.raw['callers']]
    return {name: (factor if name in callers[:2] else 0.5) * deployment.queries_per_second(name, MEAN_SERVICE_MS)
            for name in callers}


def run_factors(folder, deployment, seed, seconds, factors, settings):
    behaviour = {name: {'meanServiceMs': MEAN_SERVICE_MS, 'sigma': SIGMA} for name in deployment.pools}
    results = {}
    with Fleet(folder, deployment, seed, behaviour, settings) as fleet:
        fleet.load('warm', deployment.classes(offered(deployment, 0.3)), WARMUP_SECONDS)
        for factor in factors:
            result = fleet.load(f'x{factor}', deployment.classes(offered(deployment, factor)), seconds, 1,
                                on_start=fleet.reset_record)
            record = fleet.record()
            results[factor] = (result, record)
    return results


def goodput(result):
    """Weighted answers per second."""
    return sum(c['answered'] * c['weight'] for c in result['classes'].values()) / result['seconds']


def weightiest(deployment):
    return max(deployment.intents, key=lambda intent: intent['weight'])


def run(folder, deployment, seed, seconds):
    ours = run_factors(folder / 'ours', deployment, seed, seconds, FACTORS, {})
    fifo = run_factors(folder / 'fifo', deployment, seed, seconds, BASELINE_FACTORS, FIFO)
    intent = weightiest(deployment)
    figures = {'wrong answers': sum(r['wrong'] for r, _ in [*ours.values(), *fifo.values()])}
    for name, results in (('ours', ours), ('fifo', fifo)):
        for factor, (result, record) in results.items():
            each = result['classes'][intent['caller']]
            figures[f'{name} {factor}x: goodput'] = goodput(result)
            figures[f'{name} {factor}x: {intent["name"]} p99, ms'] = each['latencyMs']['p99']
            figures[f'{name} {factor}x: refusals p50, p99, ms'] = (
                f'{each["refusalLatencyMs"]["p50"]:.1f} {each["refusalLatencyMs"]["p99"]:.1f}')
            figures[f'{name} {factor}x: answered share'] = fig.answered_share(result)
            figures[f'{name} {factor}x: shed by endpoints'] = fig.total(record, 'shed')
            figures[f'{name} {factor}x: reasons'] = str(each['reasons'])
    best = max(goodput(result) for result, _ in ours.values())
    figures['goodput at 3x to the best'] = goodput(ours[3][0]) / best
    figures['fifo: goodput at 3x to our best'] = goodput(fifo[3][0]) / best
    figures['weightiest intent: p99 to its deadline'] = max(
        result['classes'][intent['caller']]['latencyMs']['p99'] - 2 * CLIENT_LINK_MS
        for result, _ in ours.values()) / intent['deadlineMs']
    figures['cold breaches'] = sum(e['coldBreaches'] for _, record in ours.values() for e in record)
    return figures
