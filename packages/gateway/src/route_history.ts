import {mergeLists, RecordedLists} from './recorded_lists.js';
import {RouteTable} from './route_table.js';
import {
  ORIGIN_RECORD_GRACE_MS,
  STREAM_ORIGIN_TTL_MS,
} from './stream_constants.js';
import type {GatewayConfig, Route} from './types.js';

/** Services by route, the latter as `routeKey` names it. */
export type ServicesByRoute = ReadonlyMap<string, readonly string[]>;

/** Names a route across versions of the configuration. */
export function routeKey({
  host,
  pathPrefix,
}: Pick<Route, 'host' | 'pathPrefix'>): string {
  return `${host.toLowerCase()}${pathPrefix}`;
}

/** Services that a route sends requests to. */
export function servicesOf({targets}: Pick<Route, 'targets'>): string[] {
  return targets.filter(({weight}) => weight > 0).map(({service}) => service);
}

/**
 * Finds the routes of resumable streams whose requests went to other services
 * before: theirs, or those of a route that was split off or merged. Each with all
 * of its services, before and after.
 */
export function findMovedRoutes(
  before: readonly Route[],
  after: readonly Route[],
): ServicesByRoute {
  const table = new RouteTable(before);
  const kept = new Set(after.map(routeKey));
  const dropped = before.filter(route => !kept.has(routeKey(route)));
  const moved = new Map<string, readonly string[]>();
  for (const route of after) {
    if (!route.isResumable) continue;
    const key = routeKey(route);
    const previous = table.find(route.host, route.pathPrefix);
    const merged = dropped.filter(other => routeKey(other).startsWith(key));
    const services = new Set(
      [route, ...merged, ...(previous ? [previous] : [])].flatMap(servicesOf),
    );
    if (services.size > servicesOf(route).length) moved.set(key, [...services]);
  }
  return moved;
}

/**
 * The services to which the routes led while streams that may still be resumed
 * began, by the configurations of this member and the record of all members.
 */
export class RouteHistory {
  private active: GatewayConfig | null = null;
  private activeSinceMs = -Infinity;
  private firstVersion = Infinity;
  private readonly moved = new Map<
    string,
    {readonly services: readonly string[]; readonly atMs: number}
  >();
  private readonly recorded = new RecordedLists<string>();
  private recordedVersion = -1;

  /** Records the configuration that is in force from now on. */
  record(cfg: GatewayConfig, nowMs: number): void {
    if (this.active) {
      const moved = findMovedRoutes(this.active.routes, cfg.routes);
      for (const [key, services] of moved) this.addMove(key, services, nowMs);
    }
    this.firstVersion = Math.min(this.firstVersion, cfg.version);
    this.active = cfg;
    this.activeSinceMs = nowMs;
  }

  /** Applies what all members recorded up to a version of the configuration. */
  recall(moved: ServicesByRoute, configVersion: number, nowMs: number): void {
    this.recordedVersion = configVersion;
    this.recorded.recall(moved, nowMs);
  }

  /**
   * Routes that moved within STREAM_ORIGIN_TTL_MS, by what was seen or recorded,
   * with all their services.
   */
  recentMoves(nowMs: number): ServicesByRoute {
    return mergeLists(this.seenMoves(nowMs), this.recorded.recent(nowMs));
  }

  /** Routes that this member itself has seen move in that time. */
  seenMoves(nowMs: number): ServicesByRoute {
    const recent = new Map<string, readonly string[]>();
    for (const [key, {services, atMs}] of this.moved) {
      if (nowMs - atMs > STREAM_ORIGIN_TTL_MS) this.moved.delete(key);
      else recent.set(key, services);
    }
    return recent;
  }

  /** The only service at which streams of a route can have begun, or null. */
  soleServiceOf(route: Route, nowMs: number): string | null {
    const moved = this.moved.get(routeKey(route));
    const isRecent = moved && nowMs - moved.atMs <= STREAM_ORIGIN_TTL_MS;
    const services = new Set([
      ...servicesOf(route),
      ...(isRecent ? moved.services : []),
      ...this.recorded.of(routeKey(route)),
    ]);
    const [sole = null] = services;
    return services.size === 1 ? sole : null;
  }

  /** Whether the record covers the configuration in force. */
  get isRecorded(): boolean {
    return this.recordedVersion >= this.activeVersion;
  }

  /** Whether it does, or may be expected to soon. */
  willBeRecorded(nowMs: number): boolean {
    const activeMs = nowMs - this.activeSinceMs;
    return this.isRecorded || activeMs < ORIGIN_RECORD_GRACE_MS;
  }

  /** Version of the configuration in force; -1 for none. */
  get activeVersion(): number {
    return this.active?.version ?? -1;
  }

  /** Whether this member has seen all configurations since a version. */
  hasSeenSince(configVersion: number): boolean {
    return this.firstVersion <= configVersion;
  }

  private addMove(
    key: string,
    services: readonly string[],
    nowMs: number,
  ): void {
    const known = this.moved.get(key)?.services ?? [];
    const all = [...new Set([...known, ...services])];
    this.moved.set(key, {services: all, atMs: nowMs});
  }
}
