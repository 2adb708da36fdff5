"""Runs all processes of an experiment: simulated endpoints, control voters, entry daemons, load generator."""

import json
import subprocess
import time
from pathlib import Path

from . import web
from .deployment import ROOT, Deployment
from .operators import Operator
from .processes import Process, stop_all, wait_until

BINARIES = ROOT / 'build' / 'release'
READY_SECONDS = 30
CLIENT_LINK_MS = 3


def build():
    """Builds the programs that the experiments run."""
    subprocess.run([ROOT / 'tools' / 'build', 'release'], check=True, stdout=subprocess.DEVNULL)


def binary(name):
    for folder in (BINARIES, BINARIES / 'bench'):
        if (folder / name).exists():
            return folder / name
    raise FileNotFoundError(f'{name} was not built')


class Fleet:
    """Context manager that stops all processes it started on exit."""

    def __init__(self, folder, deployment, seed, behaviour=None, entry_settings=None,
                 control_settings=None, endpoint_threads=2):
        self.folder = Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.deployment = deployment
        self.seed = seed
        self.behaviour = behaviour or {}
        self.entry_settings = entry_settings or {}
        self.control_settings = control_settings or {}
        self.endpoint_threads = endpoint_threads
        self.control = {}
        self.entries = {}
        self.other_processes = []
        self.exit_codes = {}

    def __enter__(self):
        try:
            self.write_settings()
            self.start_endpoints()
            for vm in self.deployment.control_vms():
                self.start_control(vm['id'])
            for vm in self.deployment.vms():
                self.start_entry(vm['id'])
            self.operator = Operator('bench', [vm['operators'] for vm in self.deployment.control_vms()])
            for intent in self.deployment.intents:
                self.operator.change({'putIntent': intent})
            self.wait_ready()
            return self
        except BaseException:
            self.__exit__()
            raise

    def __exit__(self, *_):
        entries = [p for p in self.entries.values() if p.is_alive()]
        self.exit_codes.update(stop_all(entries))
        remaining = [p for p in [*self.control.values(), *self.other_processes] if p.is_alive()]
        self.exit_codes.update(stop_all(remaining))

    def write(self, name, content):
        path = self.folder / name
        path.write_text(json.dumps(content, indent=1))
        return path

    def write_settings(self):
        self.write('deployment.json', self.deployment.raw)
        self.write('behaviour.json', self.behaviour)
        self.write('entry.json', {'deployment': 'deployment.json', **self.entry_settings})
        for vm in self.deployment.control_vms():
            self.write(f'control-{vm["id"]}.json', {
                'deployment': 'deployment.json', 'dataFolder': f'data-{vm["id"]}', **self.control_settings})

    def start_endpoints(self):
        self.other_processes.append(Process('endpoints', [
            binary('bulrush-endpoint'), '--deployment', 'deployment.json', '--behaviour', 'behaviour.json',
            '--admin', self.deployment.admin, '--seed', self.seed, '--threads', self.endpoint_threads],
            self.folder))
        wait_until(lambda: web.is_ok(self.deployment.admin, '/admin/endpoints'), READY_SECONDS, 'simulated endpoints')

    def start_control(self, vm):
        if vm in self.control:
            self.control[vm].start()
            return
        self.control[vm] = Process(f'control-{vm}', [
            binary('bulrush-control'), '--settings', f'control-{vm}.json', '--vm', vm], self.folder)

    def start_entry(self, vm):
        if vm in self.entries:
            self.entries[vm].start()
            return
        self.entries[vm] = Process(f'entry-{vm}', [
            binary('bulrush-entry'), '--settings', 'entry.json', '--vm', vm], self.folder)

    def callers_address(self, vm):
        return next(v['callers'] for v in self.deployment.vms() if v['id'] == vm)

    def wait_ready(self, vms=None, seconds=READY_SECONDS):
        for vm in vms or self.entries:
            wait_until(lambda vm=vm: web.is_ok(self.callers_address(vm), '/readyz'), seconds, f'entry daemon {vm}')

    # Admin API of the simulated endpoints.

    def admin(self, path, body=None):
        status, answer = web.post(self.deployment.admin, path, body)
        if status != 200:
            raise RuntimeError(f'{path}: {status} {answer}')
        return answer

    def change_endpoints(self, selector, operation, body):
        return self.admin(f'/admin/endpoints/{selector}/{operation}', body)

    def reset_record(self):
        self.admin('/admin/record/reset')

    def record(self, service_times=False, keys=False):
        query = f'?serviceTimes={int(service_times)}&keys={int(keys)}'
        record = web.get(self.deployment.admin, '/admin/record' + query, seconds=60)[1]['endpoints']
        self.write('record.json', record)
        return record

    def endpoints(self):
        return web.get(self.deployment.admin, '/admin/endpoints')[1]['endpoints']

    # Load generator.

    def load(self, name, classes, seconds, warmup=0, timeout_ms=5000, while_measuring=None, on_start=None):
        """Runs bulrush-load and returns its result. Calls `on_start()`, then `while_measuring()`,
        when measurement starts after the warm-up."""
        settings = self.write(f'{name}.load.json', {
            'entries': [{'address': vm['callers']} for vm in self.deployment.vms()],
            'admin': self.deployment.admin, 'clientLinkMs': CLIENT_LINK_MS, 'warmupSeconds': warmup,
            'seconds': seconds, 'timeoutMs': timeout_ms, 'seed': self.seed, 'run': name, 'classes': classes})
        result = self.folder / f'{name}.result.json'
        process = Process(f'{name}.load', [
            binary('bulrush-load'), '--settings', settings, '--result', result,
            '--plot', self.folder / f'{name}.svg'], self.folder, capture=True)
        self.other_processes.append(process)
        if process.child.stdout.readline().strip() == 'measuring':
            if on_start:
                on_start()
            if while_measuring:
                while_measuring()
        process.child.stdout.readline()
        process.child.wait()
        if not result.exists():
            raise RuntimeError(f'bulrush-load failed: {(self.folder / (process.name + ".log")).read_text()}')
        return json.loads(result.read_text())

    def entry_cpu(self):
        return {vm: p.cpu_seconds() for vm, p in self.entries.items() if p.is_alive()}


def now_ms():
    """Wall clock in ms, the clock of the endpoint records."""
    return time.time() * 1000
