"""Load below endpoint capacity: verifies every answer and compares latency and CPU with a direct exchange."""

import json
import subprocess

from harness import figures as fig
from harness.fleet import CLIENT_LINK_MS, Fleet, binary

SECONDS = 15
WARMUP_SECONDS = 5
SHARE_OF_CAPACITY = 0.3


def exchange_cost():
    """CPU time in microseconds of a plain Beast HTTP exchange: (client side, server side)."""
    out = subprocess.run([binary('bulrush-exchange')], check=True, capture_output=True, text=True).stdout
    cost = json.loads(out)
    return cost['clientMicros'], cost['serverMicros']


def run(folder, deployment, seed, seconds):
    rates = deployment.rates(SHARE_OF_CAPACITY)
    behaviour = deployment.behaviour()
    cpu = {}
    with Fleet(folder, deployment, seed, behaviour) as fleet:
        def begin():
            fleet.reset_record()
            cpu['before'] = fleet.entry_cpu()

        result = fleet.load('load', deployment.classes(rates), seconds, WARMUP_SECONDS, on_start=begin)
        cpu['after'] = fleet.entry_cpu()
        record = fleet.record(service_times=True)
        client_micros, server_micros = exchange_cost()
    return make_figures(deployment, result, record, cpu, client_micros, server_micros)


def make_figures(deployment, result, record, cpu, client_micros, server_micros):
    first = deployment.first_caller()
    pool = deployment.pools[deployment.caller(first)['pool']]
    times = fig.service_times(record, pool.name)
    allowed = fig.quantile_of_slowest(times, pool.shards, 0.99) + 2 * CLIENT_LINK_MS
    spent = sum(cpu['after'].values()) - sum(cpu['before'].values())
    sub_requests = fig.arrivals(record)
    micros = spent * 1e6 / max(1, sub_requests)
    p99 = result['classes'][first]['latencyMs']['p99']
    figures = {
        'verified answers': result['verified'],
        'wrong answers': result['wrong'],
        'answered share': fig.answered_share(result),
        'sub-requests': sub_requests,
        'extra sub-requests share': fig.total(record, 'hedges') / max(1, sub_requests),
        f'p99 of {first}, ms': p99,
        'p99 of the first class, ms': p99,
        'p99 that endpoints and link allow, ms': allowed,
        'p99 to the one allowed': p99 / allowed,
        'entry CPU for a sub-request, us': micros,
        'bare exchange, client side, us': client_micros,
        'bare exchange, server side, us': server_micros,
        'CPU to one side of a bare exchange': micros / ((client_micros + server_micros) / 2),
        'CPU to both sides of a bare exchange': micros / (client_micros + server_micros),
        'load tool late, p99 ms': result['sendLagMs']['p99'],
        'stand-ins late, most ms': max(e['maxWakeLagMs'] for e in record),
        'connections refused by endpoints': sum(e['connectionsRefused'] for e in record),
        'cold breaches': sum(e['coldBreaches'] for e in record),
    }
    for name, each in result['classes'].items():
        figures[f'{name}: sent, answered, p50, p99'] = (
            f'{each["sent"]} {each["answered"]} {each["latencyMs"]["p50"]:.1f} {each["latencyMs"]["p99"]:.1f} '
            f'{json.dumps(each["reasons"])}')
    return figures
