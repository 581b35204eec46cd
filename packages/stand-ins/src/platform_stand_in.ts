import {newId} from '@fescuespool/common';
import {PLATFORM_PATH} from '@fescuespool/protocol';
import type {CasRequest, StoreEntry, Vm, VmListing} from '@fescuespool/state';
import type {ServerResponse} from 'node:http';
import {z} from 'zod';
import {CONTROL_PATH, PLATFORM_RATE_LIMIT} from './constants.js';
import {sendJson, startStandInServer} from './control_server.js';
import {RateLimiter} from './rate_limiter.js';
import type {StandIn} from './types.js';

/** Schema of the platform's settings. */
export const PLATFORM_SETTINGS_SCHEMA = z.object({
  host: z.string().default('127.0.0.1'),
  port: z.number().int().default(0),
});

/** Schema of the platform's faults. */
export const PLATFORM_FAULTS_SCHEMA = z.object({
  /** Cuts every connection. */
  outage: z.boolean().optional(),
  /** Delay in milliseconds of every answer. */
  delayMs: z.number().optional(),
  /** Number of swaps that are applied and whose answer is lost. */
  loseCasAnswers: z.number().optional(),
  /** Keys that a lost answer concerns; all without it. */
  loseCasPrefix: z.string().optional(),
  /** Number of reads that answer with the value before the last. */
  staleReads: z.number().optional(),
  blockedSources: z.array(z.string()).optional(),
});

/** Faults of the platform. */
export type PlatformFaults = z.infer<typeof PLATFORM_FAULTS_SCHEMA>;

interface StoredValue extends StoreEntry {
  readonly leaseId: string | undefined;
}

interface Waiter {
  readonly isReady: () => boolean;
  readonly answer: () => void;
}

/** The platform's key-value service and VM list, in memory. */
class Platform {
  private readonly values = new Map<string, StoredValue>();
  private readonly previous = new Map<string, StoreEntry | null>();
  private readonly leases = new Map<string, number>();
  private readonly waiters = new Set<Waiter>();
  private readonly limiter = new RateLimiter(PLATFORM_RATE_LIMIT);
  private readonly calls: Record<string, number> = {};
  private revision = 0;
  private listing: VmListing = {revision: 0, vms: []};
  faults: PlatformFaults = {};

  handle(path: string, body: string, res: ServerResponse): void {
    this.calls[path] = (this.calls[path] ?? 0) + 1;
    if (this.faults.outage) {
      res.socket?.destroy();
      return;
    }
    const isWrite = path === PLATFORM_PATH.CAS || path.includes('/lease/');
    if (!this.limiter.tryAcquire(isWrite)) {
      sendJson(res, {error: 'rate limited'}, 429);
      return;
    }
    this.dropExpiredLeases();
    const delayMs = this.faults.delayMs ?? 0;
    const run = (): void => this.answer(path, JSON.parse(body), res);
    if (delayMs > 0) setTimeout(run, delayMs);
    else run();
  }

  control(path: string, body: Buffer): unknown {
    const text = body.toString();
    if (path === CONTROL_PATH.FAULTS) {
      const patch = PLATFORM_FAULTS_SCHEMA.parse(JSON.parse(text));
      this.faults = {...this.faults, ...patch};
    }
    if (path === CONTROL_PATH.VMS) {
      const vms = JSON.parse(text) as Vm[];
      this.listing = {revision: this.listing.revision + 1, vms};
      this.wake();
    }
    const peaks = this.limiter.peaks();
    return {calls: this.calls, waiting: this.waiters.size, ...peaks};
  }

  private answer(path: string, body: unknown, res: ServerResponse): void {
    const params = body as Record<string, unknown>;
    if (path === PLATFORM_PATH.GET) {
      sendJson(res, {entry: this.read(String(params['key']))});
    } else if (path === PLATFORM_PATH.CAS) {
      this.swap(body as CasRequest, res);
    } else if (path === PLATFORM_PATH.WATCH) {
      const {key, afterRevision, waitMs} = params as {
        key: string;
        afterRevision: number;
        waitMs: number;
      };
      const isReady = (): boolean =>
        (this.values.get(key)?.revision ?? 0) > afterRevision;
      this.wait(isReady, waitMs, () => {
        const entry = isReady() ? this.entry(key) : null;
        sendJson(res, {entry});
      });
    } else if (path === PLATFORM_PATH.VMS) {
      const {afterRevision, waitMs} = params as {
        afterRevision: number;
        waitMs: number;
      };
      const isReady = (): boolean => this.listing.revision > afterRevision;
      this.wait(isReady, waitMs, () =>
        sendJson(res, {listing: isReady() ? this.listing : null}),
      );
    } else if (path === PLATFORM_PATH.LEASE_GRANT) {
      const leaseId = newId();
      this.leases.set(leaseId, Date.now() + Number(params['ttlMs']));
      sendJson(res, {leaseId});
    } else {
      sendJson(res, {ok: this.leases.has(String(params['leaseId']))});
    }
  }

  private entry(key: string): StoreEntry | null {
    const found = this.values.get(key);
    if (!found) return null;
    return {key, value: found.value, revision: found.revision};
  }

  private read(key: string): StoreEntry | null {
    const stale = this.faults.staleReads ?? 0;
    if (stale > 0 && this.previous.has(key)) {
      this.faults = {...this.faults, staleReads: stale - 1};
      return this.previous.get(key) ?? null;
    }
    return this.entry(key);
  }

  private swap(req: CasRequest, res: ServerResponse): void {
    const current = this.entry(req.key);
    if (req.leaseId !== undefined && !this.leases.has(req.leaseId)) {
      sendJson(res, {error: 'lease expired'}, 410);
      return;
    }
    if ((current?.revision ?? 0) !== req.expectedRevision) {
      sendJson(res, {swapped: false, current});
      return;
    }
    this.previous.set(req.key, current);
    const revision = ++this.revision;
    if (req.value === null) {
      this.values.delete(req.key);
    } else {
      const {key, value, leaseId} = req;
      this.values.set(key, {key, value, revision, leaseId});
    }
    this.wake();
    const lost = this.faults.loseCasAnswers ?? 0;
    if (lost > 0 && req.key.startsWith(this.faults.loseCasPrefix ?? '')) {
      this.faults = {...this.faults, loseCasAnswers: lost - 1};
      res.socket?.destroy();
      return;
    }
    sendJson(res, {swapped: true, revision});
  }

  private wait(
    isReady: () => boolean,
    waitMs: number,
    answer: () => void,
  ): void {
    if (isReady()) {
      answer();
      return;
    }
    const waiter: Waiter = {
      isReady,
      answer: () => {
        clearTimeout(timer);
        this.waiters.delete(waiter);
        answer();
      },
    };
    const timer = setTimeout(waiter.answer, waitMs);
    this.waiters.add(waiter);
  }

  private wake(): void {
    for (const waiter of [...this.waiters]) {
      if (waiter.isReady()) waiter.answer();
    }
  }

  private dropExpiredLeases(): void {
    const now = Date.now();
    for (const [id, expiresAt] of this.leases) {
      if (expiresAt > now) continue;
      this.leases.delete(id);
      for (const [key, value] of this.values) {
        if (value.leaseId === id) this.values.delete(key);
      }
    }
  }
}

/** Starts the platform's stand-in. */
export async function startPlatform(
  settings: z.infer<typeof PLATFORM_SETTINGS_SCHEMA>,
): Promise<StandIn> {
  const platform = new Platform();
  return startStandInServer({
    ...settings,
    isBlocked: source =>
      platform.faults.blockedSources?.includes(source) ?? false,
    handleControl: (path, body) => platform.control(path, body),
    handleRequest: (body, req, res) =>
      platform.handle(req.url ?? '/', body.toString(), res),
  });
}
