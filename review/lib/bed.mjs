// Starts the gateways of a case as the deploy file does, with a store beside
// them, and writes what happened to record.txt.
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {Store} from './store.mjs';

const LIB = dirname(fileURLToPath(import.meta.url));
const ROOT = join(LIB, '..', '..');
const PROGRAM = 'target/fescuespoold.cjs';

export const HAS_TROUBLE = process.env.TROUBLE !== '0';
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** A free port on a loopback address, below those that the system hands out. */
async function freePort(host, count = 1) {
  for (;;) {
    const first = 20_000 + Math.floor(Math.random() * 10_000);
    const servers = [];
    let isFree = true;
    for (let i = 0; i < count && isFree; i++) {
      const server = net.createServer();
      isFree = await new Promise(resolve => {
        server.once('error', () => resolve(false));
        server.listen(first + i, host, () => resolve(true));
      });
      if (isFree) servers.push(server);
    }
    for (const server of servers) {
      await new Promise(resolve => server.close(resolve));
    }
    if (isFree) return first;
  }
}

export class Bed {
  constructor(folder) {
    this.folder = folder;
    this.temp = mkdtempSync(join(tmpdir(), 'fescuespool-review-'));
    this.store = new Store();
    this.children = new Set();
    this.gateways = [];
    this.lines = [];
    this.startMs = performance.now();
    // A network of its own, as the port of the metrics is fixed.
    this.net = [
      10 + Math.floor(Math.random() * 200),
      10 + Math.floor(Math.random() * 200),
    ].join('.');
    this.requestCount = 0;
  }

  ip(n) {
    return `127.${this.net}.${n}`;
  }

  /** Notes what was sent, answered, run or done. */
  note(what, fields = {}) {
    const ms = Math.round(performance.now() - this.startMs);
    this.lines.push(`${ms} ms ${what} ${JSON.stringify(fields)}`);
  }

  /** Starts the store; the operator writes a configuration unless it is null. */
  async start(config) {
    this.storeAddress = await this.store.listen(this.ip(1));
    if (config) this.configure(config);
  }

  configure(config) {
    const revision = this.store.put('op/config', config);
    const {version} = config;
    this.note('configuration acknowledged', {version, revision});
  }

  spawn(args, env = {}) {
    const {PATH, HOME, LANG} = process.env;
    const child = spawn(process.execPath, args, {
      cwd: ROOT,
      env: {PATH, HOME, LANG, ...env},
      stdio: ['pipe', 'pipe', 'pipe'],
    });
    this.children.add(child);
    child.once('exit', () => this.children.delete(child));
    child.stdin.on('error', () => undefined);
    return child;
  }

  /** Writes the settings of a gateway and starts its process. */
  async addGateway(name, zone, changes = {}) {
    const n = 10 + this.gateways.length;
    const ip = this.ip(n);
    const port = await freePort(ip, 20);
    const gateway = {
      name,
      ip,
      front: {host: ip, port: port + 16},
      ready: {host: ip, port: port + 17},
      settingsPath: join(this.temp, `${name}.json`),
      log: [],
    };
    const settings = {
      node_name: name,
      role: 'gateway',
      machine_class: 'front',
      serves: ['front'],
      ip,
      zone,
      region: 'vah-valley',
      internal_ports: [port, port + 15],
      seeds: [],
      bootstrap: true,
      discovery: 'platform',
      entry: 'vip',
      heartbeat_ms: 1200,
      listen: {front: `${ip}:${port + 16}`, ready: `${ip}:${port + 17}`},
      limits: {
        cpu_share: 0.513,
        cpu_cores: 2,
        memory_mb: 480,
        max_fds: 6150,
        link_mbps: 1500,
      },
      bounds: {
        contact_ms: 3000,
        drain_ms: 2000,
        grace_s: 8,
        loss_slack_ms: 200,
        config_apply_ms: 2000,
        rollback_slack_ms: 250,
        max_skew_ms: 5000,
        fail_closed: true,
        revoke_ms: 5000,
        retry_budget_ratio: 0.2,
        budget_window_s: 10,
        retry_budget_extra: 56,
        quota_window_s: 8,
        quota_overage: 0.1,
        quota_slack: 190000,
        recover_s: 12,
        pass_ms: 120,
        retry_after_s: 10,
      },
      platform: {
        address: this.storeAddress,
        form: 'kv',
        writes_per_s: 400,
        reads_per_s: 2000,
        history_s: 20,
        value_bytes: 1048576,
        ttl_min_ms: 1000,
      },
      ...changes,
    };
    writeFileSync(gateway.settingsPath, JSON.stringify(settings));
    this.gateways.push(gateway);
    this.startGateway(gateway);
    return gateway;
  }

  startGateway(gateway) {
    const args = [
      '--max-old-space-size=192',
      '--max-semi-space-size=4',
      PROGRAM,
    ];
    const child = this.spawn(args, {
      FESCUESPOOL_SETTINGS: gateway.settingsPath,
    });
    gateway.child = child;
    let rest = '';
    const read = data => {
      const lines = (rest + data).split('\n');
      rest = lines.pop();
      gateway.log.push(...lines);
    };
    child.stdout.on('data', read);
    child.stderr.on('data', read);
    child.once('exit', (code, signal) =>
      this.note('gateway ended', {gateway: gateway.name, code, signal}),
    );
    this.note('gateway started', {gateway: gateway.name, pid: child.pid});
  }

  signal(gateway, name) {
    this.note('signal', {gateway: gateway.name, signal: name});
    gateway.child.kill(name);
  }

  async whenReady(gateway, timeoutMs = 20_000) {
    const endsAt = performance.now() + timeoutMs;
    while (performance.now() < endsAt) {
      if ((await this.readiness(gateway)) === 200) {
        this.note('gateway ready', {gateway: gateway.name});
        return true;
      }
      await sleep(50);
    }
    return false;
  }

  /** Status of the readiness check; 0 without an answer. */
  readiness({ready}) {
    return new Promise(resolve => {
      const req = http.get(
        {...ready, path: '/v1/ready', agent: false, timeout: 1000},
        res => {
          res.resume();
          resolve(res.statusCode);
        },
      );
      req.on('timeout', () => req.destroy());
      req.on('error', () => resolve(0));
    });
  }

  /** Resolves when each gateway lists all others as members. */
  async whenJoined() {
    for (let i = 0; i < 200; i++) {
      const keys = [...this.store.items.keys()];
      const count = keys.filter(key => key.includes('/members/')).length;
      if (count === this.gateways.length) return sleep(1500);
      await sleep(50);
    }
    throw new Error('the gateways did not register');
  }

  /** Starts an engine process; it prints what it got and ran. */
  async addEngine(id, options, entry = {}) {
    const host = this.ip(100);
    const engine = {id, address: '', events: [], host};
    const born = Date.now();
    const args = [join(LIB, 'engine.mjs')];
    const child = this.spawn(args, {
      ENGINE: JSON.stringify({id, host, born, ...options}),
    });
    engine.child = child;
    let rest = '';
    child.stdout.on('data', data => {
      const lines = (rest + data).split('\n');
      rest = lines.pop();
      for (const line of lines) {
        const event = JSON.parse(line);
        engine.events.push(event);
        if (event.what === 'listening') engine.port = event.port;
        this.note(`engine ${id}: ${event.what}`, event.fields);
      }
    });
    child.stderr.on('data', data => this.note(`engine ${id} error`, `${data}`));
    for (let i = 0; i < 100 && !engine.port; i++) await sleep(50);
    if (!engine.port) throw new Error('the engine did not start');
    engine.address = `${host}:${engine.port}`;
    this.store.put(`servers/${id}`, {
      service: 'app',
      address: engine.address,
      zone: 'puchov',
      version: '1',
      slots: 5,
      state: 'ready',
      cold_remaining_ms: 0,
      call_seq: 0,
      born,
      ...entry,
    });
    return engine;
  }

  /** Sends a request to a gateway; resolves with what its client saw. */
  request(gateway, {method = 'POST', path, headers = {}, body, id, agent}) {
    const requestId = id ?? `r${++this.requestCount}`.padEnd(16, '0');
    this.note('client sent', {id: requestId, to: gateway.name, method, path});
    return new Promise(resolve => {
      const chunks = [];
      const done = (status, isComplete, head = {}, error = undefined) => {
        const text = Buffer.concat(chunks).toString();
        const answer = {id: requestId, status, isComplete, head, text, error};
        this.note('client got', {
          id: requestId,
          status,
          isComplete,
          bytes: text.length,
          error,
        });
        resolve(answer);
      };
      const req = http.request(
        {
          ...gateway.front,
          method,
          path,
          agent: agent ?? false,
          headers: {
            host: 'svc.example',
            'x-request-id': requestId,
            'x-deadline-ms': '12000',
            ...headers,
          },
        },
        res => {
          res.on('data', chunk => chunks.push(chunk));
          res.once('end', () => done(res.statusCode, true, res.headers));
          res.once('error', e =>
            done(res.statusCode, false, res.headers, e.message),
          );
        },
      );
      req.once('error', e => done(0, false, {}, e.message));
      req.end(body);
    });
  }

  /** Ends all processes, writes the record and exits. */
  async end(code, why) {
    this.note('result', {code, why});
    const exits = [...this.children].map(child => {
      const exit = once(child, 'exit');
      child.kill('SIGCONT');
      child.kill('SIGKILL');
      return exit;
    });
    await Promise.all(exits);
    this.store.close();
    rmSync(this.temp, {recursive: true, force: true});
    const text = `${this.lines.join('\n')}\n`;
    const {RECORD = join(this.folder, 'record.txt')} = process.env;
    writeFileSync(RECORD, text);
    process.stdout.write(`${code}: ${why}\n`);
    process.exit(code);
  }
}

/** Runs a case; whatever is thrown means that it could not run. */
export async function runCase(folder, run) {
  const bed = new Bed(folder);
  const limit = setTimeout(() => void bed.end(2, 'time is up'), 110_000);
  limit.unref();
  try {
    const {code, why} = await run(bed);
    await bed.end(code, why);
  } catch (e) {
    await bed.end(2, `could not run: ${e.stack}`);
  }
}

export function route(name, changes) {
  return {
    name,
    host: 'svc.example',
    prefix: `/${name}/`,
    kind: 'safe',
    timeout_ms: 12_000,
    target_latency_ms: 800,
    priority: 1,
    service: 'app',
    max_attempts: 2,
    public: false,
    ...changes,
  };
}

export function config(version, changes = {}) {
  return {
    version,
    routes: [
      route('safe', {timeout_ms: 2_500}),
      route('unsafe', {kind: 'unsafe', max_attempts: 1, timeout_ms: 2_500}),
      route('stream', {
        kind: 'streaming',
        gap_aim_ms: 400,
        resumable: true,
        sticky: true,
      }),
    ],
    services: [{name: 'app', health_path: '/health'}],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{name: 'importer', api_keys: ['key-1', 'key-2'], priority: 1}],
    ...changes,
  };
}
