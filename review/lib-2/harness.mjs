// Stand-ins and helpers that the scripts of review/6 to review/10 share. They use
// nothing but Node.js, so that nothing has to be built for them.
import {spawn} from 'node:child_process';
import {createHash, randomInt} from 'node:crypto';
import {once} from 'node:events';
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

export const ROOT = fileURLToPath(new URL('../../', import.meta.url));
export const HOST = 'ficu95.example';
export const KEY = 'i9n73hh2b9wu3fexd9dn';
export const TENANT = 'hule930';
/** Whether the disruption takes place. */
export const TROUBLE = process.env['TROUBLE'] !== '0';

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Writes what was sent, answered and run to record.txt of the case's folder. */
export class Record {
  constructor(folder) {
    this.path = process.env['RECORD'] ?? join(folder, 'record.txt');
    this.startMs = performance.now();
    writeFileSync(this.path, `TROUBLE=${TROUBLE ? 1 : 0}\n`);
  }

  add(text) {
    const s = ((performance.now() - this.startMs) / 1000).toFixed(3);
    appendFileSync(this.path, `${s.padStart(8)} ${text}\n`);
  }
}

/** The platform's store: keys, ranges, watches, transactions and leases. */
export class Store {
  items = new Map();
  history = [];
  revision = 1;
  lastLease = 1;
  leases = new Map();
  waiting = new Set();
  constructor() {
    this.server = http.createServer((req, res) => void this.serve(req, res));
  }

  async listen(host = '127.0.0.1') {
    this.server.listen(0, host);
    await once(this.server, 'listening');
    this.address = `${host}:${this.server.address().port}`;
    this.timer = setInterval(() => this.expire(), 50);
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes a JSON value; returns the revision, which is the ack. */
  put(key, value) {
    return this.write(
      key,
      Buffer.from(JSON.stringify(value)).toString('base64'),
      0,
    );
  }

  write(key, value, lease) {
    const revision = ++this.revision;
    const created = this.items.get(key)?.created_rev ?? revision;
    const item = {key, value, revision, created_rev: created, lease};
    this.items.set(key, item);
    this.log(item);
    return revision;
  }

  remove(key) {
    if (!this.items.delete(key)) return;
    this.log({key, revision: ++this.revision, deleted: true});
  }

  log(event) {
    this.history.push(event);
    for (const wake of [...this.waiting]) wake();
  }

  expire() {
    const now = performance.now();
    for (const [id, {endsMs}] of this.leases) {
      if (endsMs > now) continue;
      this.leases.delete(id);
      for (const item of [...this.items.values()]) {
        if (item.lease === id) this.remove(item.key);
      }
    }
  }

  /**
   * Milliseconds after which a transaction is done that gets no answer; null for
   * one that is done and answered at once. Tests replace it.
   */
  lateMs() {
    return null;
  }

  async serve(req, res) {
    const chunks = [];
    try {
      for await (const chunk of req) chunks.push(chunk);
    } catch {
      return;
    }
    const text = Buffer.concat(chunks).toString();
    const url = new URL(req.url, 'http://store');
    const body = text === '' ? {} : JSON.parse(text);
    const lateMs = url.pathname === '/v1/kv-txn' ? this.lateMs(body) : null;
    if (lateMs !== null) {
      setTimeout(() => this.transact(body), lateMs);
      return;
    }
    const [status, answer] = await this.call(url, body);
    if (res.destroyed) return;
    res.writeHead(status, {
      'Content-Type': 'application/json',
      'Store-Era': '1',
    });
    res.end(JSON.stringify(answer));
  }

  async call(url, body) {
    const [, , name, id] = url.pathname.split('/');
    const query = url.searchParams;
    const at = {store_revision: this.revision};
    if (name === 'kv-key') {
      const item = this.items.get(query.get('key'));
      return item ? [200, {...item, ...at}] : [404, {}];
    }
    if (name === 'kv-range') {
      const items = [...this.items.values()]
        .filter(({key}) => key.startsWith(query.get('prefix') ?? ''))
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      return [200, {items, has_more: false, ...at}];
    }
    if (name === 'kv-watch') return this.watch(query);
    if (name === 'kv-txn') return this.transact(body);
    if (name === 'kv-lease') {
      const lease = ++this.lastLease;
      const ttlMs = body.ttl_ms;
      this.leases.set(lease, {ttlMs, endsMs: performance.now() + ttlMs});
      return [200, {lease, ttl_ms: ttlMs}];
    }
    const lease = this.leases.get(Number(id));
    if (name === 'kv-keep' && lease) {
      lease.endsMs = performance.now() + lease.ttlMs;
      return [200, {ttl_ms: lease.ttlMs}];
    }
    return [404, {}];
  }

  async watch(query) {
    const after = Number(query.get('start_after'));
    const prefix = query.get('prefix') ?? '';
    const endsMs = performance.now() + Number(query.get('wait_ms'));
    for (;;) {
      const events = this.history.filter(
        ({key, revision}) => revision > after && key.startsWith(prefix),
      );
      const leftMs = endsMs - performance.now();
      if (events.length > 0 || leftMs <= 0) {
        return [200, {events, store_revision: this.revision}];
      }
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer);
          this.waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, leftMs);
        this.waiting.add(wake);
      });
    }
  }

  transact({expected = [], writes = [], remove = []}) {
    const holds = expected.every(
      ({key, revision}) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!holds) {
      const items = expected.flatMap(({key}) => this.items.get(key) ?? []);
      return [412, {items}];
    }
    for (const {lease} of writes) {
      if (lease && !this.leases.has(lease)) return [404, {}];
    }
    for (const {key, value, lease} of writes)
      this.write(key, value, lease ?? 0);
    for (const key of remove) this.remove(key);
    return [200, {revision: this.revision}];
  }
}

/**
 * A sound engine. `answer(run, res)` sends the response; every request that it
 * begins to work on stands in `runs`.
 */
export class Engine {
  runs = [];
  /** Whether its runs are not recorded one by one. */
  isQuiet = false;
  constructor(id, record, answer) {
    this.id = id;
    this.record = record;
    this.answer = answer;
    this.server = http.createServer(
      {maxHeaderSize: 131_072, keepAliveTimeout: 30_000},
      (req, res) => void this.serve(req, res),
    );
    this.server.maxHeadersCount = 0;
  }

  async listen(host = '127.0.0.1') {
    this.server.listen(0, host);
    await once(this.server, 'listening');
    this.address = `${host}:${this.server.address().port}`;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  entry(service, zone) {
    return {
      service,
      address: this.address,
      zone,
      version: '1',
      slots: 6,
      state: 'ready',
      cold_remaining_ms: 0,
      call_seq: 0,
      born: (this.born ??= Date.now()),
    };
  }

  async serve(req, res) {
    const chunks = [];
    try {
      for await (const chunk of req) chunks.push(chunk);
    } catch {
      return;
    }
    const {method, url, headers, rawHeaders} = req;
    if (url === '/v1/report') {
      res.setHeader('Content-Type', 'application/json');
      const report = {stage: 'hybrid', models: [], busy: false, call_seq: 0};
      res.end(
        JSON.stringify({...report, queued: 0, running: 0, born: this.born}),
      );
      return;
    }
    const id = headers['x-request-id'];
    if (id !== undefined) res.setHeader('X-Request-Id', id);
    if (headers['x-expected-instance'] !== this.id) {
      res.writeHead(421).end();
      return;
    }
    const run = {
      id,
      method,
      path: url,
      headers,
      rawHeaders,
      body: Buffer.concat(chunks),
    };
    this.runs.push(run);
    if (!this.isQuiet)
      this.record.add(
        `run      id=${id} engine=${this.id} ${method} ${url} ` +
          `body=${run.body.length} bytes sha1=${sha1(run.body)}`,
      );
    res.setHeader('X-Response-Seal', `seal.${this.id}.${this.runs.length}`);
    this.answer(run, res);
  }
}

export const sha1 = bytes =>
  createHash('sha1').update(bytes).digest('hex').slice(0, 12);

/** A gateway as the deploy file starts it, on its own loopback address. */
export class Gateway {
  log = [];
  constructor(index, store, folder, zone = 'trencin') {
    this.name = `front-${zone}-1`;
    this.store = store;
    this.zone = zone;
    this.ip = `127.${randomInt(10, 250)}.${randomInt(1, 250)}.${10 + index}`;
    this.path = join(folder, `${this.name}.json`);
  }

  async prepare(changes = {}) {
    const ports = await freePorts(this.ip, 20);
    this.front = {host: this.ip, port: ports[0]};
    this.ready = {host: this.ip, port: ports[1]};
    const settings = {
      node_name: this.name,
      role: 'gateway',
      machine_class: 'front',
      serves: ['front'],
      ip: this.ip,
      internal_ports: [ports[2], ports[17]],
      zone: this.zone,
      region: 'vah-valley',
      seeds: [],
      bootstrap: true,
      heartbeat_ms: 1200,
      zones: {trencin: 'vah-valley', puchov: 'vah-valley'},
      listen: {
        front: `${this.ip}:${ports[0]}`,
        ready: `${this.ip}:${ports[1]}`,
      },
      limits: {
        cpu_share: 1,
        cpu_cores: 1,
        memory_mb: 480,
        max_fds: 6150,
        link_mbps: 1500,
        disk_mb: 0,
      },
      fault_tolerance: {machines: 1, zones: 1, regions: 0},
      bounds: {
        seed_lag_s: 3,
        addr_reuse_s: 2,
        contact_ms: 3000,
        ack_ms: 4000,
        catch_up_s: 4,
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
        address: this.store.address,
        form: 'kv',
        writes_per_s: 400,
        reads_per_s: 2000,
        history_s: 20,
        value_bytes: 1048576,
        ttl_min_ms: 1000,
      },
      ...changes,
    };
    writeFileSync(this.path, JSON.stringify(settings));
  }

  /** Starts the process with the command of the deploy file. */
  start() {
    const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
    const [command, ...args] = /^run = "(.*)"$/m.exec(deploy)[1].split(' ');
    const {PATH, HOME, LANG} = process.env;
    const child = spawn(command, args, {
      cwd: ROOT,
      env: {PATH, HOME, LANG, FESCUESPOOL_SETTINGS: this.path},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    this.exited = new Promise(resolve =>
      child.once('exit', (code, signal) => resolve({code, signal})),
    );
    for (const stream of [child.stdout, child.stderr]) {
      stream.on('data', data => {
        this.log.push(data.toString());
        if (this.log.length > 2000) this.log.shift();
      });
    }
  }

  get isRunning() {
    return this.child?.exitCode === null && this.child.signalCode === null;
  }

  /** Sends a signal to the process, which this script started. */
  signal(name) {
    if (this.isRunning) this.child.kill(name);
  }

  async isReady() {
    const {status} = await send(this.ready, {path: '/v1/ready'}).catch(
      () => ({}),
    );
    return status === 200;
  }

  async whenReady(timeoutMs = 10_000) {
    const endsMs = performance.now() + timeoutMs;
    while (performance.now() < endsMs) {
      if (await this.isReady()) return;
      await sleep(50);
    }
    throw new Error(
      `${this.name} is not ready: ${this.log.slice(-5).join('')}`,
    );
  }

  async end() {
    if (!this.isRunning) return;
    this.signal('SIGCONT');
    this.signal('SIGKILL');
    await this.exited;
  }
}

/** Consecutive free ports of an address. */
async function freePorts(host, count) {
  for (;;) {
    const first = randomInt(20_000, 30_000);
    const servers = [];
    try {
      for (let i = 0; i < count; i++) {
        const server = net.createServer().listen(first + i, host);
        await once(server, 'listening');
        servers.push(server);
      }
      return servers.map((_, i) => first + i);
    } catch {
      // Another range is tried.
    } finally {
      for (const server of servers) server.close();
    }
  }
}

/** A request with a whole answer; rejects if there is none. */
export function send(address, {path, method = 'GET', headers = {}, body}) {
  return new Promise((resolve, reject) => {
    const req = http.request(
      {...address, path, method, headers, agent: false, timeout: 20_000},
      res => {
        const chunks = [];
        res.on('data', chunk => chunks.push(chunk));
        res.on('error', reject);
        res.on('end', () =>
          resolve({
            status: res.statusCode,
            headers: res.headers,
            body: Buffer.concat(chunks),
            isComplete: res.complete,
          }),
        );
      },
    );
    req.on('timeout', () => req.destroy(new Error('no answer')));
    req.on('error', reject);
    req.end(body);
  });
}

let lastId = 0;
/** Headers of a client's request with a new id. */
export function clientHeaders(more = {}) {
  const id = `${process.pid.toString(16)}${(++lastId).toString(16).padStart(8, '0')}`;
  return {
    Host: HOST,
    'X-Request-Id': id,
    'X-Deadline-Ms': '12000',
    'X-Credential': KEY,
    ...more,
  };
}

function route(name, changes) {
  return {
    name,
    host: HOST,
    prefix: `/${name}/`,
    service: 'app',
    kind: 'safe',
    timeout_ms: 12_000,
    target_latency_ms: 1_000,
    max_attempts: 2,
    priority: 1,
    public: false,
    sticky: false,
    resumable: false,
    ...changes,
  };
}

/** A configuration with a route of each kind. */
export function config(version, changes = {}) {
  const stream = {kind: 'streaming', gap_aim_ms: 400};
  return {
    version,
    routes: [
      route('safe', {}),
      route('unsafe', {kind: 'unsafe', max_attempts: 1}),
      route('stream', {...stream, max_attempts: 1}),
      route('resumable', {...stream, resumable: true}),
    ],
    services: [{name: 'app', health_path: '/health', max_connections: 100}],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 1_048_576,
      header_timeout_ms: 5_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{name: TENANT, api_keys: [KEY], priority: 1}],
    ...changes,
  };
}

/**
 * Runs a case: `play` gets the stand-ins and returns whether the rule was broken.
 * Exits with 1 if so, 0 if not, and 2 if the case could not run.
 */
export async function runCase(url, play) {
  const folder = fileURLToPath(new URL('.', url));
  const record = new Record(folder);
  const temp = mkdtempSync(join(tmpdir(), 'fescuespool-review-'));
  const gateways = [];
  const closing = [];
  let code = 2;
  const limit = setTimeout(() => {
    record.add('case stopped: over 115 s');
    for (const gateway of gateways) gateway.signal('SIGKILL');
    process.exit(2);
  }, 115_000);
  try {
    const store = new Store();
    await store.listen();
    closing.push(store);
    const bed = {
      record,
      store,
      async addEngine(id, answer, service = 'app', zone = 'trencin') {
        const engine = new Engine(id, record, answer);
        await engine.listen();
        closing.push(engine);
        store.put(`servers/${id}`, engine.entry(service, zone));
        return engine;
      },
      async addGateway(changes, zone) {
        const gateway = new Gateway(gateways.length + 1, store, temp, zone);
        await gateway.prepare(changes);
        gateways.push(gateway);
        gateway.start();
        return gateway;
      },
    };
    const broken = await play(bed);
    record.add(broken ? 'RULE BROKEN' : 'rule held');
    code = broken ? 1 : 0;
  } catch (e) {
    record.add(`case could not run: ${e.stack}`);
  } finally {
    clearTimeout(limit);
    for (const gateway of gateways) {
      await gateway.end();
      if (process.env['LOG'])
        writeFileSync(
          `${process.env['LOG']}-${gateway.name}`,
          gateway.log.join(''),
        );
    }
    for (const one of closing) one.close();
    rmSync(temp, {recursive: true, force: true});
  }
  process.exit(code);
}
