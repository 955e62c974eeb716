"""Starts a small deployment on loopback: the platform's stand-in and relay hosts."""
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, 'target', 'bin', 'meadowthread')
# review/build.sh builds it here; target/ is not under version control.
STANDIN = os.path.join(ROOT, 'target', 'review', 'bin', 'meadowthread-users-standin')
ENGINE = {'slots': 24, 'kv_capacity_tokens': 34322, 'kv_token_bytes': 327680,
          'link_mbps': 47000.0, 'moves': True, 'stride': 4, 'models': [{'name': 'm'}]}


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


DRAWN = set()


def free_ports(count):
    """Ports below the range from which the kernel draws those of clients, each
    free for TCP and UDP and drawn once only."""
    found = []
    while len(found) < count:
        port = random.randrange(15000, 30000)
        if port in DRAWN:
            continue
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(('127.0.0.1', port))
                udp.bind(('127.0.0.1', port))
            except OSError:
                continue
        DRAWN.add(port)
        found.append(port)
    return found


class Fleet:
    def __init__(self, engines, plain, event_ms, hosts, zones, **bounds):
        self.dir = tempfile.mkdtemp(prefix='mt-review-')
        self.procs = []
        self.event_ms = event_ms
        self.bounds = bounds
        self.zones = zones
        self.platform = self.spawn([STANDIN, str(engines), str(plain), str(event_ms)],
                                   'platform', stdout=subprocess.PIPE)
        line = self.platform.stdout.readline().decode()
        self.store = int(line.split('port=')[1])
        self.hosts = {}
        for name, zone in hosts:
            ports = free_ports(5)
            self.hosts[name] = {'zone': zone, 'ports': ports, 'proc': None}

    def spawn(self, argv, name, **kw):
        log = open(os.path.join(self.dir, name + '.log'), 'ab')
        kw.setdefault('stdout', log)
        proc = subprocess.Popen(argv, stderr=log, cwd=ROOT, **kw)
        self.procs.append(proc)
        return proc

    def start(self, name):
        host = self.hosts[name]
        p = host['ports']
        path = os.path.join(self.dir, name + '.yaml')
        b = self.bounds
        with open(path, 'w') as out:
            out.write('host: {name: "%s", zone: "%s", region: "metro"}\n' % (name, host['zone']))
            out.write('listen: {callers: "127.0.0.1:%d", ready: "127.0.0.1:%d", '
                      'control: "127.0.0.1:%d", loads_port: %d, metrics_port: %d}\n' % tuple(p))
            out.write('zones:\n' + ''.join('  - {name: "%s", region: "metro"}\n' % z for z in self.zones))
            out.write('store: "http://127.0.0.1:%d"\n' % self.store)
            out.write('retries:\n  per_request: 0.2\n  extra: %d\n' % b.get('extra', 58))
            out.write('bounds:\n  grace_s: 8\n  descriptors: 4100\n  memory_mb: %d\n'
                      '  change_ms: 2000\n  leaving_ms: 2000\n  settle_ms: 3000\n'
                      % b.get('memory_mb', 110))
        host['proc'] = self.spawn([PROGRAM, 'relay', '--settings', path], name)

    def freeze(self, name):
        self.hosts[name]['proc'].send_signal(signal.SIGSTOP)

    def terminate(self, name):
        self.hosts[name]['proc'].send_signal(signal.SIGTERM)

    def kill(self, name):
        self.hosts[name]['proc'].kill()
        self.hosts[name]['proc'].wait()

    def ready(self, name):
        try:
            return self.call(self.hosts[name]['ports'][1], 'GET', '/v1/ready', {}, None, 1.0)[0] == 200
        except OSError:
            return False

    def wait_ready(self, names, limit_s=20):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if all(self.ready(n) for n in names):
                return True
            time.sleep(0.1)
        return False

    @staticmethod
    def call(port, method, path, headers, body, timeout):
        conn = http.client.HTTPConnection('127.0.0.1', port, timeout=timeout)
        try:
            conn.request(method, path, body=body, headers=headers)
            answer = conn.getresponse()
            return answer.status, answer.read(), dict(answer.getheaders())
        finally:
            conn.close()

    def order(self, path, body=None):
        return json.loads(self.call(self.store, 'POST', '/standin/' + path, {},
                                    json.dumps(body or {}), 5.0)[1])

    def close(self):
        for proc in self.procs:
            if proc.poll() is None:
                proc.send_signal(signal.SIGCONT)
                proc.kill()
        for proc in self.procs:
            proc.wait()
        shutil.rmtree(self.dir, ignore_errors=True)
