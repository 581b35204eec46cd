import type {Logger} from '@fescuespool/common';
import {RouteTable} from './route_table.js';
import type {GatewayConfig} from './types.js';

/** Milliseconds of a clock that also counts a suspension of the VM. */
export type BootClock = () => number;

/**
 * The configuration in force and how long ago it was known to be the newest.
 * Versions only grow: an older one that arrives late is ignored.
 */
export class ConfigState {
  private active: {cfg: GatewayConfig; table: RouteTable} | null = null;
  private confirmedAtMs = -Infinity;

  constructor(
    private readonly bootClock: BootClock,
    private readonly log: Logger,
  ) {}

  /** The configuration in force, or null before the first. */
  get current(): GatewayConfig | null {
    return this.active?.cfg ?? null;
  }

  /** Routes of the configuration in force. */
  get routes(): RouteTable | null {
    return this.active?.table ?? null;
  }

  /** Milliseconds since the configuration was known to be the newest. */
  get ageMs(): number {
    return this.bootClock() - this.confirmedAtMs;
  }

  /** Takes a version over where it is newer. */
  apply(cfg: GatewayConfig): void {
    const known = this.active?.cfg.version ?? -1;
    if (cfg.version <= known) return;
    this.active = {cfg, table: new RouteTable(cfg.routes)};
    this.log.info('config_applied', {
      version: cfg.version,
      before: known,
      routes: cfg.routes.length,
      keys: cfg.accountsByKey.size,
    });
  }

  /** Notes that nothing newer existed at a time of the boot clock. */
  confirm(atMs: number): void {
    this.confirmedAtMs = Math.max(this.confirmedAtMs, atMs);
  }
}
