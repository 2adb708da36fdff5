"""Client of the operator API: plans and confirms changes, and retries while the outcome is unknown."""

import itertools
import time

from . import web

ATTEMPTS = 40
PAUSE_SECONDS = 0.25


class Operator:
    """An operator that can use any control VM."""

    def __init__(self, name, addresses, headers=None):
        self.name = name
        self.addresses = addresses
        self.headers = headers or {}
        self.command_numbers = itertools.count(1)
        self.next_address = 0

    def address(self):
        return self.addresses[self.next_address % len(self.addresses)]

    def ask(self, path, body):
        """Sends a request to the current VM. If it is unreachable, returns (0, None) and moves on to the next VM."""
        try:
            return web.post(self.address(), path, body, headers=self.headers, seconds=5)
        except OSError:
            self.next_address += 1
            return 0, None

    def change(self, change):
        """Plans and confirms a change. Returns the revision that contains it."""
        last = None
        for _ in range(ATTEMPTS):
            command = f'{self.name}-{time.time_ns()}-{next(self.command_numbers)}'
            status, plan = self.ask('/v1/plan', {
                'operator': self.name, 'command': command, 'change': change})
            last = (status, plan)
            if status == 200:
                result = self.confirm(command, plan['plan'])
                last = result
                if result.get('result') == 'accepted':
                    return result['revision']
            self.next_address += 1
            time.sleep(PAUSE_SECONDS)
        raise RuntimeError(f'the change {change} was not accepted: {last}')

    def confirm(self, command, plan):
        """Confirms a plan, and retries until the outcome is known or `ATTEMPTS` is reached."""
        body = {'operator': self.name, 'command': command, 'plan': plan}
        result = {'result': 'unknown'}
        for _ in range(ATTEMPTS):
            status, answer = self.ask('/v1/confirm', body)
            if status != 0 and isinstance(answer, dict):
                result = answer
            if result.get('result', 'unknown') not in ('unknown', 'not_run'):
                return result
            time.sleep(PAUSE_SECONDS)
            self.next_address += 1
        return result

    def status(self):
        for _ in range(len(self.addresses)):
            try:
                status, answer = web.get(self.address(), '/v1/status', headers=self.headers, seconds=2)
                if status == 200:
                    return answer
            except OSError:
                pass
            self.next_address += 1
        return {}
