import type {Logger} from '@fescuespool/common';
import {RouteTable} from './route_table.js';
import type {GatewayConfig} from './types.js';

/**
 * Returns the milliseconds of a clock that keeps counting while the VM is
 * suspended.
 */
export type BootClock = () => number;

/**
 * Holds the active configuration and when it was last confirmed as the newest.
 * Versions only increase, so an older one that arrives late is ignored.
 */
export class ConfigState {
  private active: {cfg: GatewayConfig; table: RouteTable} | null = null;
  private confirmedAtMs = -Infinity;
  /** Newest version that another member has in force. */
  private newestElsewhere = -1;
  private readonly confirmListeners = new Set<() => void>();

  constructor(
    private readonly bootClock: BootClock,
    private readonly log: Logger,
  ) {}

  /** The active configuration, or null before the first was applied. */
  get current(): GatewayConfig | null {
    return this.active?.cfg ?? null;
  }

  /**
   * Routes of the active configuration, or null before the first was applied.
   */
  get routes(): RouteTable | null {
    return this.active?.table ?? null;
  }

  /** Newest version in force at any member, as far as known; -1 for none. */
  get newestVersion(): number {
    return Math.max(this.newestElsewhere, this.current?.version ?? -1);
  }

  /**
   * Milliseconds since the configuration was last confirmed as the newest;
   * Infinity before the first confirmation.
   */
  get ageMs(): number {
    return this.bootClock() - this.confirmedAtMs;
  }

  /**
   * Activates a configuration unless its version is not newer. The first one is
   * not older than what another member has in force either: to have none is
   * better than to go by one that was replaced.
   */
  apply(cfg: GatewayConfig): void {
    const activeVersion = this.active?.cfg.version ?? -1;
    if (cfg.version <= activeVersion) return;
    if (!this.active && cfg.version < this.newestElsewhere) {
      const {version} = cfg;
      const newest = this.newestElsewhere;
      this.log.warn('config_outdated', {version, newest});
      return;
    }
    this.active = {cfg, table: new RouteTable(cfg.routes)};
    this.log.info('config_applied', {
      version: cfg.version,
      before: activeVersion,
      routes: cfg.routes.length,
      keys: cfg.accountsByKey.size,
    });
  }

  /** Records a version that another member has in force. */
  recordElsewhere(version: number): void {
    this.newestElsewhere = Math.max(this.newestElsewhere, version);
  }

  /**
   * Records that no newer version existed at a boot clock time in milliseconds,
   * unless another member has one.
   */
  confirm(atMs: number): void {
    if ((this.current?.version ?? -1) < this.newestElsewhere) return;
    this.confirmedAtMs = Math.max(this.confirmedAtMs, atMs);
    for (const listener of [...this.confirmListeners]) listener();
  }

  /**
   * Waits for a confirmation that is not older than this call; false if none
   * comes within `timeoutMs`.
   */
  whenConfirmed(timeoutMs: number): Promise<boolean> {
    const calledAtMs = this.bootClock();
    return new Promise(resolve => {
      const end = (isConfirmed: boolean): void => {
        clearTimeout(timer);
        this.confirmListeners.delete(check);
        resolve(isConfirmed);
      };
      const check = (): void => {
        if (this.confirmedAtMs >= calledAtMs) end(true);
      };
      const timer = setTimeout(() => end(false), timeoutMs);
      this.confirmListeners.add(check);
    });
  }
}
