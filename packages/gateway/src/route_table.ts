import type {Route, RouteTarget} from './types.js';

/** Finds the route of a request by host and longest matching path prefix. */
export class RouteTable {
  private readonly routesByHost = new Map<string, Route[]>();

  constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const host = route.host.toLowerCase();
      const hostRoutes = this.routesByHost.get(host) ?? [];
      hostRoutes.push(route);
      this.routesByHost.set(host, hostRoutes);
    }
    for (const hostRoutes of this.routesByHost.values()) {
      hostRoutes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
  }

  /**
   * Returns the matching route, or null. The host may include a port and the
   * path a query string.
   */
  find(host: string, path: string): Route | null {
    const hostRoutes = this.routesByHost.get(withoutPort(host).toLowerCase());
    return hostRoutes?.find(route => path.startsWith(route.pathPrefix)) ?? null;
  }
}

function withoutPort(host: string): string {
  const match = /^(.*):\d+$/.exec(host);
  return match ? match[1]! : host;
}

/**
 * Picks a target with a probability proportional to its weight; null without
 * targets. `draw` is a random number in [0, 1).
 */
export function pickTarget(
  targets: readonly RouteTarget[],
  draw: number,
): RouteTarget | null {
  const total = targets.reduce((sum, target) => sum + target.weight, 0);
  let remaining = draw * total;
  for (const target of targets) {
    remaining -= target.weight;
    if (remaining < 0) return target;
  }
  return targets.at(-1) ?? null;
}
