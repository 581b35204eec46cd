import {beforeEach, describe, expect, it} from 'vitest';
import type {ResumePlace} from './origin_history.js';
import {OriginHistory} from './origin_history.js';
import {RouteHistory} from './route_history.js';
import {STREAM_ORIGIN_TTL_MS} from './stream_constants.js';
import type {OriginLookup, OriginRecord} from './stream_origin.js';
import {latestOrigin, VersionHistory} from './stream_origin.js';
import {placeToResume} from './stream_resumption.js';
import type {Route} from './types.js';

const ORIGIN = {service: 'app', softwareVersion: 'v1', send: 1};
const KNOWN = {origin: ORIGIN, isCertain: true};
const NOBODY_KNOWS = {origin: null, isCertain: true};
const NOBODY_ANSWERED = {origin: null, isCertain: false};
const ROUTE = {targets: [{service: 'app', weight: 1}]};
const ID = 'request-1';

describe('latestOrigin', () => {
  it('is that of the last send, whoever answers first', () => {
    const later = {...ORIGIN, softwareVersion: 'v2', send: 2};
    expect(latestOrigin([null, ORIGIN, later])).toBe(later);
    expect(latestOrigin([later, ORIGIN, null])).toBe(later);
    expect(latestOrigin([null])).toBeNull();
  });
});

/** Where a stream goes on at a time, by the versions that were seen. */
function resume(
  route: Pick<Route, 'targets'>,
  id: string | null,
  lookup: OriginLookup,
  versions: VersionHistory,
  nowMs: number,
): ResumePlace | null {
  const history = new OriginHistory(
    versions,
    new RouteHistory(),
    () => nowMs,
    () => true,
  );
  const whole = {host: 'svc.example', pathPrefix: '/', ...route} as Route;
  return placeToResume(whole, id, lookup, history);
}

describe('placeToResume', () => {
  let versions: VersionHistory;

  beforeEach(() => {
    versions = new VersionHistory();
  });

  const see = (nowMs: number, ...seen: (string | null)[]): void =>
    versions.record(new Map([['app', seen]]), nowMs);

  it('is where the stream began, whatever else serves now', () => {
    see(0, 'v1', 'v2');
    expect(resume(ROUTE, ID, KNOWN, versions, 1)).toMatchObject({
      service: 'app',
      softwareVersion: 'v1',
    });
  });

  it('is nowhere if the route no longer leads to the service', () => {
    const moved = {targets: [{service: 'other', weight: 1}]};
    expect(resume(moved, ID, KNOWN, versions, 0)).toBeNull();
    const drained = {
      targets: [
        {service: 'app', weight: 0},
        {service: 'other', weight: 1},
      ],
    };
    expect(resume(drained, ID, KNOWN, versions, 0)).toBeNull();
  });

  const recordOf = (isComplete: boolean, ...seen: string[]): OriginRecord => ({
    versions: new Map([['app', seen]]),
    movedRoutes: new Map(),
    configVersion: 1,
    isComplete,
  });

  describe('by the record of versions', () => {
    const place = (id: string | null): string | undefined =>
      resume(ROUTE, id, NOBODY_KNOWS, versions, 2)?.softwareVersion;

    it('is the only recorded version at once, also beside one that has just come', () => {
      see(0, 'v1');
      versions.recall(recordOf(true, 'v1'), 1);
      expect(place(ID)).toBe('v1');
      see(2, 'v1', 'v2');
      expect(place(ID)).toBe('v1');
      expect(place(null)).toBe('v1');
    });

    it('is nowhere if several are recorded, or one that was before this process', () => {
      see(0, 'v2');
      versions.recall(recordOf(true, 'v1', 'v2'), 1);
      expect(place(ID)).toBeUndefined();
      expect(place(null)).toBeUndefined();
    });

    it('is nowhere if the record may lack versions, or has to be read again', () => {
      see(0, 'v1');
      versions.recall(recordOf(false, 'v1'), 1);
      expect(place(ID)).toBeUndefined();
      versions.recall(recordOf(true, 'v1'), 1);
      versions.restart();
      expect(place(ID)).toBeUndefined();
      expect(place(null)).toBeUndefined();
    });
  });

  describe('for a stream whose beginning no member knows', () => {
    it('is nowhere while the history of versions is too short', () => {
      see(0, 'v1');
      expect(resume(ROUTE, ID, NOBODY_KNOWS, versions, 1_000)).toBeNull();
    });

    it('is the only version that there was when it can have begun', () => {
      see(0, 'v1');
      const nowMs = STREAM_ORIGIN_TTL_MS + 1;
      expect(resume(ROUTE, ID, NOBODY_KNOWS, versions, nowMs)).toEqual({
        service: 'app',
        softwareVersion: 'v1',
      });
    });

    it('is nowhere if not all members have answered', () => {
      see(0, 'v1');
      const nowMs = STREAM_ORIGIN_TTL_MS + 1;
      expect(resume(ROUTE, ID, NOBODY_ANSWERED, versions, nowMs)).toBeNull();
    });

    it('is nowhere while the upstreams were loaded again meanwhile', () => {
      see(0, 'v1');
      const reloadedAtMs = STREAM_ORIGIN_TTL_MS;
      versions.restart();
      see(reloadedAtMs, 'v1');
      const endMs = reloadedAtMs + STREAM_ORIGIN_TTL_MS;
      expect(resume(ROUTE, ID, NOBODY_KNOWS, versions, endMs)).toBeNull();
      expect(
        resume(ROUTE, ID, NOBODY_KNOWS, versions, endMs + 1),
      ).not.toBeNull();
    });

    it('is nowhere while an earlier version can have begun it', () => {
      const replacedAtMs = STREAM_ORIGIN_TTL_MS;
      see(0, 'v1');
      see(replacedAtMs, 'v2');
      const endMs = replacedAtMs + STREAM_ORIGIN_TTL_MS;
      expect(resume(ROUTE, ID, NOBODY_KNOWS, versions, endMs)).toBeNull();
      expect(resume(ROUTE, ID, NOBODY_KNOWS, versions, endMs + 1)).toEqual({
        service: 'app',
        softwareVersion: 'v2',
      });
    });
  });

  describe('for a stream that its caller does not name', () => {
    it('is nowhere while only what this process has seen is known', () => {
      see(0, 'v1', 'v1');
      expect(resume(ROUTE, null, NOBODY_ANSWERED, versions, 1)).toBeNull();
    });

    it('is the only version that was recorded', () => {
      see(0, 'v1', 'v1');
      versions.recall(recordOf(true, 'v1'), 1);
      expect(resume(ROUTE, null, NOBODY_ANSWERED, versions, 1)).toMatchObject({
        softwareVersion: 'v1',
      });
    });

    it('is nowhere with two versions, one unknown, or two services', () => {
      see(0, 'v1', 'v2');
      expect(resume(ROUTE, null, NOBODY_ANSWERED, versions, 1)).toBeNull();
      versions = new VersionHistory();
      see(0, 'v1', null);
      expect(resume(ROUTE, null, NOBODY_ANSWERED, versions, 1)).toBeNull();
      versions = new VersionHistory();
      see(0, 'v1');
      const split = {targets: [...ROUTE.targets, {service: 'b', weight: 1}]};
      expect(resume(split, null, NOBODY_ANSWERED, versions, 1)).toBeNull();
    });
  });
});
