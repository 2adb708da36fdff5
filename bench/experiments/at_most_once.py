"""Sends 10,000 commands while entry daemons and control leaders crash and replies are lost."""

import random
import time

from harness import commands, faults
from harness.fleet import Fleet

SECONDS = 40
COMMANDS = 10_000
LOST_REPLY_SHARE = 0.02
CRASH_EVERY_SECONDS = 4
DOWN_SECONDS = 1.5
RESENDS = 3
RESEND_ANSWERED = 0.1


class Crashes:
    """Alternately kills and restarts a random entry daemon and the control leader."""

    def __init__(self, fleet, seed, seconds):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.seconds = seconds
        self.entries = 0
        self.leaders = 0

    def crash(self, process, restart):
        process.kill()
        time.sleep(DOWN_SECONDS)
        restart()

    def run(self):
        end = time.monotonic() + self.seconds - 2 * CRASH_EVERY_SECONDS
        while time.monotonic() < end:
            time.sleep(CRASH_EVERY_SECONDS - DOWN_SECONDS)
            if (self.entries + self.leaders) % 2 == 0:
                vm = self.random.choice(list(self.fleet.entries))
                self.crash(self.fleet.entries[vm], lambda vm=vm: self.fleet.start_entry(vm))
                self.entries += 1
                continue
            vm = faults.leader(self.fleet) or self.random.choice(list(self.fleet.control))
            self.crash(self.fleet.control[vm], lambda vm=vm: self.fleet.start_control(vm))
            self.leaders += 1


def run(folder, deployment, seed, seconds):
    first = deployment.first_caller()
    caller = deployment.caller(first)
    behaviour = deployment.behaviour(lostReplyShare=LOST_REPLY_SHARE)
    classes = [{'name': first, 'apiKey': caller['apiKey'], 'pool': caller['pool'], 'kind': 'booking',
                'rate': COMMANDS * 1.02 / seconds, 'weight': 1, 'command': True, 'resends': RESENDS,
                'resendAnswered': RESEND_ANSWERED}]
    with Fleet(folder, deployment, seed, behaviour) as fleet:
        crashes = Crashes(fleet, seed, seconds)
        result = fleet.load('commands', classes, seconds, while_measuring=crashes.run)
        record = fleet.record(keys=True)
    each = result['classes'][first]
    return {
        **commands.compare([result], record),
        'wrong answers': result['wrong'],
        'faults': str(result['faults']),
        'crashes of entry daemons': crashes.entries,
        'crashes of control leaders': crashes.leaders,
        'p50, p99 of answered, ms': f'{each["latencyMs"]["p50"]:.1f} {each["latencyMs"]["p99"]:.1f}',
        'reasons': str(each['reasons']),
    }
