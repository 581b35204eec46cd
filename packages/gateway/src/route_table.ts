import type {Route, RouteTarget} from './types.js';

/** Routes by host, the longest path prefix first. */
export class RouteTable {
  private readonly byHost = new Map<string, Route[]>();

  constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const host = route.host.toLowerCase();
      const list = this.byHost.get(host) ?? [];
      list.push(route);
      this.byHost.set(host, list);
    }
    for (const list of this.byHost.values()) {
      list.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
  }

  /** The route of a request, or null; the path may carry a query. */
  find(host: string, path: string): Route | null {
    const list = this.byHost.get(withoutPort(host).toLowerCase());
    return list?.find(route => path.startsWith(route.pathPrefix)) ?? null;
  }
}

function withoutPort(host: string): string {
  const match = /^(.*):\d+$/.exec(host);
  return match ? match[1]! : host;
}

/** Picks a target by weight; the draw lies from 0 up to 1. */
export function pickTarget(
  targets: readonly RouteTarget[],
  draw: number,
): RouteTarget | null {
  const total = targets.reduce((sum, target) => sum + target.weight, 0);
  let left = draw * total;
  for (const target of targets) {
    left -= target.weight;
    if (left < 0) return target;
  }
  return targets.at(-1) ?? null;
}
