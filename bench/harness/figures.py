"""Computes figures from the records of callers and endpoints."""

import math


def quantile(values, share):
    """Quantile by nearest rank; 0 if there are no values."""
    if not values:
        return 0
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def service_times(record, pool):
    return [t for e in record if e['pool'] == pool for t in e['serviceTimesMs']]


def quantile_of_slowest(times, count, share):
    """The quantile of the largest of `count` independent draws from `times`."""
    return quantile(times, share ** (1 / count))


def arrivals(record):
    return sum(e['requests']['arrived'] for e in record)


def total(record, name):
    """Sum of one request counter over all endpoints."""
    return sum(e['requests'][name] for e in record)


def arrivals_between(endpoint, first_ms, last_ms):
    """Requests that arrived at an endpoint, in buckets wholly within the interval (wall clock, ms)."""
    return sum(count for _, count in buckets_between(endpoint, first_ms, last_ms))


def buckets_between(endpoint, first_ms, last_ms):
    """(start, count) of the buckets wholly within the interval."""
    width = endpoint['arrivalBucketMs']
    starts = ((endpoint['began'] + i * width, count) for i, count in enumerate(endpoint['arrivals']))
    return [(start, count) for start, count in starts if first_ms <= start and start + width <= last_ms]


def weighted_answers(result, second):
    """Answers to the requests scheduled in one second, weighted by class."""
    return sum(c['series'][second]['answered'] * c['weight']
               for c in result['classes'].values() if second < len(c['series']))


def weighted_sent(result, second):
    return sum(c['series'][second]['sent'] * c['weight']
               for c in result['classes'].values() if second < len(c['series']))


def answered_share(result):
    """Weighted fraction of requests that were answered."""
    sent = sum(c['sent'] * c['weight'] for c in result['classes'].values())
    answered = sum(c['answered'] * c['weight'] for c in result['classes'].values())
    return answered / sent if sent else 0
