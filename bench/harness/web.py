"""Minimal HTTP client for JSON APIs."""

import http.client
import json


def call(method, address, path, body=None, headers=None, seconds=10):
    """Returns (status, parsed body or text). Raises OSError if the exchange fails."""
    connection = http.client.HTTPConnection(address, timeout=seconds)
    try:
        payload = None if body is None else json.dumps(body)
        connection.request(method, path, payload, headers or {})
        response = connection.getresponse()
        text = response.read().decode()
    except http.client.HTTPException as error:
        raise OSError(str(error)) from error
    finally:
        connection.close()
    try:
        return response.status, json.loads(text)
    except ValueError:
        return response.status, text


def get(address, path, **options):
    return call('GET', address, path, **options)


def post(address, path, body=None, **options):
    return call('POST', address, path, body if body is not None else {}, **options)


def is_ok(address, path):
    try:
        return get(address, path, seconds=1)[0] == 200
    except OSError:
        return False
