// A small stand-in of the platform's store, as PROTOCOL.md describes it.
import http from 'node:http';

export class Store {
  constructor() {
    this.era = 1;
    this.items = new Map();
    this.history = [];
    this.revision = 1;
    this.leases = new Map();
    this.lastLease = 0;
    this.waiting = new Set();
    this.isDown = false;
    this.answerMs = 4;
    this.onCall = () => undefined;
    this.server = http.createServer((req, res) => void this.serve(req, res));
    this.timer = setInterval(() => this.expire(), 100);
  }

  async listen(host = '127.0.0.1') {
    await new Promise(resolve => this.server.listen(0, host, resolve));
    return `${host}:${this.server.address().port}`;
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  put(key, value) {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    return this.write(key, Buffer.from(text).toString('base64'), 0);
  }

  remove(key) {
    if (!this.items.delete(key)) return;
    this.revision++;
    this.record({key, revision: this.revision, deleted: true});
  }

  write(key, value, lease) {
    this.revision++;
    const known = this.items.get(key);
    const item = {
      key,
      value,
      revision: this.revision,
      created_rev: known?.created_rev ?? this.revision,
      lease,
    };
    this.items.set(key, item);
    this.record(item);
    return this.revision;
  }

  record(event) {
    this.history.push(event);
    for (const wake of [...this.waiting]) wake();
  }

  expire() {
    const now = performance.now();
    for (const [id, lease] of this.leases) {
      if (lease.endsAtMs <= now) this.endLease(id);
    }
  }

  endLease(id) {
    if (!this.leases.delete(id)) return false;
    for (const item of [...this.items.values()]) {
      if (item.lease === id) this.remove(item.key);
    }
    return true;
  }

  async serve(req, res) {
    const chunks = [];
    try {
      for await (const chunk of req) chunks.push(chunk);
    } catch {
      return;
    }
    res.setHeader('Store-Era', String(this.era));
    if (this.isDown) {
      res.writeHead(503, {'content-length': 0}).end();
      return;
    }
    const url = new URL(req.url, 'http://store');
    this.onCall(url);
    const text = Buffer.concat(chunks).toString();
    const [status, body] = await this.handle(
      url,
      text === '' ? {} : JSON.parse(text),
    );
    await new Promise(resolve => setTimeout(resolve, this.answerMs));
    const json = JSON.stringify(body);
    res.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(json),
    });
    res.end(json);
  }

  async handle(url, body) {
    const query = url.searchParams;
    const [, , call, id] = url.pathname.split('/');
    const store_revision = this.revision;
    switch (call) {
      case 'kv-key': {
        const item = this.items.get(query.get('key'));
        return item ? [200, {...item, store_revision}] : [404, {}];
      }
      case 'kv-range': {
        const prefix = query.get('prefix') ?? '';
        const after = query.get('start_after') ?? '';
        const all = [...this.items.values()]
          .filter(item => item.key.startsWith(prefix) && item.key > after)
          .sort((a, b) => (a.key < b.key ? -1 : 1));
        const items = all.slice(0, 500);
        const has_more = all.length > items.length;
        return [200, {items, has_more, store_revision}];
      }
      case 'kv-watch':
        return this.watch(query);
      case 'kv-txn':
        return this.transact(body);
      case 'kv-lease': {
        const ttlMs = Math.max(1000, body.ttl_ms);
        const lease = ++this.lastLease;
        this.leases.set(lease, {ttlMs, endsAtMs: performance.now() + ttlMs});
        return [200, {lease, ttl_ms: ttlMs}];
      }
      case 'kv-keep': {
        const lease = this.leases.get(Number(id));
        if (!lease) return [404, {}];
        lease.endsAtMs = performance.now() + lease.ttlMs;
        return [200, {lease: Number(id), ttl_ms: lease.ttlMs}];
      }
      case 'kv-lease-end':
        return this.endLease(Number(id)) ? [200, {}] : [404, {}];
      default:
        return [404, {}];
    }
  }

  async watch(query) {
    const after = Number(query.get('start_after'));
    const prefix = query.get('prefix') ?? '';
    const endsAtMs = performance.now() + Number(query.get('wait_ms'));
    if (after > this.revision) return [410, {}];
    for (;;) {
      const events = this.history.filter(
        ({key, revision}) => revision > after && key.startsWith(prefix),
      );
      const leftMs = endsAtMs - performance.now();
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
    const current = expected.map(({key}) => this.items.get(key));
    const isMet = expected.every(
      ({revision}, i) => (current[i]?.revision ?? 0) === revision,
    );
    if (!isMet) return [412, {items: current.filter(item => item)}];
    for (const {key, lease} of writes) {
      if (/^(op|servers)\//.test(key)) return [403, {}];
      if (lease && !this.leases.has(lease)) return [404, {}];
    }
    for (const {key, value, lease} of writes) {
      this.write(key, value, lease ?? 0);
    }
    for (const key of remove) this.remove(key);
    return [200, {revision: this.revision}];
  }
}
