import {newId} from '@fescuespool/common';
import {PLATFORM_PATH} from '@fescuespool/protocol';
import type {CasRequest, StoreEntry, Vm, VmListing} from '@fescuespool/state';
import type {ServerResponse} from 'node:http';
import {z} from 'zod';
import {CONTROL_PATH, PLATFORM_RATE_LIMIT} from './constants.js';
import {sendJson, startStandInServer} from './control_server.js';
import {RateLimiter} from './rate_limiter.js';
import type {StandIn} from './types.js';

/** Schema of the settings of the emulated platform. */
export const PLATFORM_SETTINGS_SCHEMA = z.object({
  host: z.string().default('127.0.0.1'),
  port: z.number().int().default(0),
});

/** Schema of the faults that can be set on the emulated platform. */
export const PLATFORM_FAULTS_SCHEMA = z.object({
  /** Closes every connection without a response. */
  outage: z.boolean().optional(),
  /** Delay of every response in milliseconds. */
  delayMs: z.number().optional(),
  /** Number of compare-and-swap calls that are applied, but get no response. */
  loseCasAnswers: z.number().optional(),
  /** Prefix of the keys to which `loseCasAnswers` applies; all if not set. */
  loseCasPrefix: z.string().optional(),
  /** Number of reads that return the value before the current one. */
  staleReads: z.number().optional(),
  /** Source addresses whose connections are closed. */
  blockedSources: z.array(z.string()).optional(),
  /** Keeps a copy of the store from which it can be restored. */
  keepCopy: z.boolean().optional(),
  /** Restores the store from the copy, which loses what came after it. */
  restoreCopy: z.boolean().optional(),
});

/** Faults that can be set on the emulated platform. */
export type PlatformFaults = z.infer<typeof PLATFORM_FAULTS_SCHEMA>;

interface StoredValue extends StoreEntry {
  readonly leaseId: string | undefined;
}

interface Waiter {
  readonly isReady: () => boolean;
  readonly respond: () => void;
}

/** In-memory key-value store and VM list of the platform. */
class Platform {
  private values = new Map<string, StoredValue>();
  private readonly previous = new Map<string, StoreEntry | null>();
  private leases = new Map<string, number>();
  private readonly waiters = new Set<Waiter>();
  private readonly limiter = new RateLimiter(PLATFORM_RATE_LIMIT);
  private readonly calls: Record<string, number> = {};
  private revision = 0;
  /** Number of restores. */
  private epoch = 0;
  private restore: () => void = () => undefined;
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
    const respond = (): void => this.handleCall(path, JSON.parse(body), res);
    if (delayMs > 0) setTimeout(respond, delayMs);
    else respond();
  }

  control(path: string, body: Buffer): unknown {
    const json = body.toString();
    if (path === CONTROL_PATH.FAULTS) {
      const patch = PLATFORM_FAULTS_SCHEMA.parse(JSON.parse(json));
      this.faults = {...this.faults, ...patch};
      if (patch.restoreCopy) this.restore();
      if (patch.keepCopy) this.restore = this.copy();
    }
    if (path === CONTROL_PATH.VMS) {
      const vms = JSON.parse(json) as Vm[];
      this.listing = {revision: this.listing.revision + 1, vms};
      this.notifyWaiters();
    }
    const peaks = this.limiter.peaks();
    return {calls: this.calls, waiting: this.waiters.size, ...peaks};
  }

  private handleCall(path: string, body: unknown, res: ServerResponse): void {
    const params = body as Record<string, unknown>;
    if (path === PLATFORM_PATH.GET) {
      sendJson(res, {
        entry: this.read(String(params['key'])),
        epoch: this.epoch,
      });
    } else if (path === PLATFORM_PATH.CAS) {
      this.compareAndSwap(body as CasRequest, res);
    } else if (path === PLATFORM_PATH.WATCH) {
      const {key, afterRevision, waitMs} = params as {
        key: string;
        afterRevision: number;
        waitMs: number;
      };
      const isReady = (): boolean =>
        (this.values.get(key)?.revision ?? 0) > afterRevision;
      this.waitUntilReady(isReady, waitMs, () => {
        const entry = isReady() ? this.entry(key) : null;
        sendJson(res, {entry, epoch: this.epoch});
      });
    } else if (path === PLATFORM_PATH.VMS) {
      const {afterRevision, waitMs} = params as {
        afterRevision: number;
        waitMs: number;
      };
      const isReady = (): boolean => this.listing.revision > afterRevision;
      this.waitUntilReady(isReady, waitMs, () =>
        sendJson(res, {listing: isReady() ? this.listing : null}),
      );
    } else if (path === PLATFORM_PATH.LEASE_GRANT) {
      const leaseId = newId();
      this.leases.set(leaseId, Date.now() + Number(params['ttlMs']));
      sendJson(res, {leaseId, epoch: this.epoch});
    } else {
      sendJson(res, {ok: this.leases.has(String(params['leaseId']))});
    }
  }

  /** Copies the store; the returned function restores it from that copy. */
  private copy(): () => void {
    const values = new Map(this.values);
    const leases = new Map(this.leases);
    const {revision} = this;
    return () => {
      this.values = new Map(values);
      this.leases = new Map(leases);
      this.revision = revision;
      this.epoch++;
      this.notifyWaiters();
    };
  }

  private entry(key: string): StoreEntry | null {
    const stored = this.values.get(key);
    if (!stored) return null;
    return {key, value: stored.value, revision: stored.revision};
  }

  /** Returns an entry, or its previous value while `staleReads` is above 0. */
  private read(key: string): StoreEntry | null {
    const staleReads = this.faults.staleReads ?? 0;
    if (staleReads > 0 && this.previous.has(key)) {
      this.faults = {...this.faults, staleReads: staleReads - 1};
      return this.previous.get(key) ?? null;
    }
    return this.entry(key);
  }

  private compareAndSwap(req: CasRequest, res: ServerResponse): void {
    const current = this.entry(req.key);
    if (req.leaseId !== undefined && !this.leases.has(req.leaseId)) {
      sendJson(res, {error: 'lease expired'}, 410);
      return;
    }
    if ((current?.revision ?? 0) !== req.expectedRevision) {
      sendJson(res, {swapped: false, current, epoch: this.epoch});
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
    this.notifyWaiters();
    const remainingLosses = this.faults.loseCasAnswers ?? 0;
    if (
      remainingLosses > 0 &&
      req.key.startsWith(this.faults.loseCasPrefix ?? '')
    ) {
      this.faults = {...this.faults, loseCasAnswers: remainingLosses - 1};
      res.socket?.destroy();
      return;
    }
    sendJson(res, {swapped: true, revision, epoch: this.epoch});
  }

  /** Calls `respond` when the condition holds, or after `waitMs`. */
  private waitUntilReady(
    isReady: () => boolean,
    waitMs: number,
    respond: () => void,
  ): void {
    if (isReady()) {
      respond();
      return;
    }
    const waiter: Waiter = {
      isReady,
      respond: () => {
        clearTimeout(timer);
        this.waiters.delete(waiter);
        respond();
      },
    };
    const timer = setTimeout(waiter.respond, waitMs);
    this.waiters.add(waiter);
  }

  private notifyWaiters(): void {
    for (const waiter of [...this.waiters]) {
      if (waiter.isReady()) waiter.respond();
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

/**
 * Starts a server that emulates the platform; faults and VMs are set over its
 * control interface.
 */
export async function startPlatformStandIn(
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
