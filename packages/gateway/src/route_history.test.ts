import {describe, expect, it} from 'vitest';
import {findMovedRoutes, RouteHistory} from './route_history.js';
import {
  ORIGIN_RECORD_GRACE_MS,
  STREAM_ORIGIN_TTL_MS,
} from './stream_constants.js';
import type {GatewayConfig, Route} from './types.js';

function route(pathPrefix: string, ...services: string[]): Route {
  const targets = services.map(service => ({service, weight: 1}));
  const fields = {host: 'a.example', pathPrefix, targets, isResumable: true};
  return fields as unknown as Route;
}

function configOf(version: number, ...routes: Route[]): GatewayConfig {
  return {version, routes} as unknown as GatewayConfig;
}

describe('findMovedRoutes', () => {
  const moves = (before: Route[], after: Route[]): unknown =>
    Object.fromEntries(findMovedRoutes(before, after));

  it('finds none among routes that stay and new ones beside them', () => {
    const before = [route('/a/', 'app')];
    expect(moves(before, [...before, route('/b/', 'other')])).toEqual({});
  });

  it('finds one that goes to another service, or to several', () => {
    const before = [route('/a/', 'app')];
    expect(moves(before, [route('/a/', 'other')])).toEqual({
      'a.example/a/': ['other', 'app'],
    });
    expect(moves([route('/a/', 'app', 'other')], before)).toEqual({
      'a.example/a/': ['app', 'other'],
    });
  });

  it('finds one that was split off, and one that takes another in', () => {
    const whole = [route('/a/', 'app')];
    const split = [...whole, route('/a/b/', 'other')];
    expect(moves(whole, split)).toEqual({'a.example/a/b/': ['other', 'app']});
    expect(moves(split, whole)).toEqual({'a.example/a/': ['app', 'other']});
  });
});

describe('RouteHistory', () => {
  it('knows no sole service of a route that has moved, for as long as streams last', () => {
    const history = new RouteHistory();
    history.record(configOf(1, route('/a/', 'app')), 0);
    expect(history.soleServiceOf(route('/a/', 'app'), 0)).toBe('app');
    const moved = route('/a/', 'other');
    history.record(configOf(2, moved), 10);
    expect(history.soleServiceOf(moved, 10)).toBeNull();
    expect([...history.recentMoves(10)]).toHaveLength(1);
    const laterMs = 11 + STREAM_ORIGIN_TTL_MS;
    expect(history.soleServiceOf(moved, laterMs)).toBe('other');
    expect([...history.recentMoves(laterMs)]).toHaveLength(0);
  });

  it('takes over the moves that were recorded', () => {
    const history = new RouteHistory();
    const other = route('/a/', 'other');
    history.record(configOf(2, other), 0);
    expect(history.isRecorded).toBe(false);
    history.recall(new Map([['a.example/a/', ['app', 'other']]]), 2, 0);
    expect(history.isRecorded).toBe(true);
    expect(history.soleServiceOf(other, 0)).toBeNull();
  });

  it('has a record cover the configuration in force', () => {
    const history = new RouteHistory();
    history.record(configOf(1, route('/a/', 'app')), 0);
    history.recall(new Map(), 1, 0);
    expect(history.isRecorded).toBe(true);
    history.record(configOf(3, route('/a/', 'app')), 1);
    expect(history.isRecorded).toBe(false);
    expect(history.willBeRecorded(1)).toBe(true);
    expect(history.willBeRecorded(2 + ORIGIN_RECORD_GRACE_MS)).toBe(false);
    expect(history.hasSeenSince(1)).toBe(true);
    expect(history.hasSeenSince(0)).toBe(false);
  });
});
