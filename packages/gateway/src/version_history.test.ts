import {beforeEach, describe, expect, it} from 'vitest';
import {STREAM_ORIGIN_TTL_MS} from './stream_constants.js';
import type {OriginRecord} from './stream_origin.js';
import {VersionHistory} from './stream_origin.js';

const SERVICE = 'app';

function recordOf(...versions: (string | null)[]): OriginRecord {
  return {
    versions: new Map([[SERVICE, versions]]),
    movedRoutes: new Map(),
    configVersion: 1,
    isComplete: true,
  };
}

describe('VersionHistory', () => {
  let history: VersionHistory;

  beforeEach(() => {
    history = new VersionHistory();
  });

  const see = (nowMs: number, ...versions: (string | null)[]): void =>
    history.record(new Map([[SERVICE, versions]]), nowMs);

  const implies = (softwareVersion: string, nowMs: number): boolean =>
    history.implies({service: SERVICE, softwareVersion}, nowMs);

  describe('versionToBegin', () => {
    it('is the recorded one while another is not recorded', () => {
      history.recall(recordOf('v1'), 0);
      expect(history.versionToBegin(SERVICE, ['v1', 'v2'])).toBe('v1');
      history.recall(recordOf('v1', 'v2'), 1);
      expect(history.versionToBegin(SERVICE, ['v1', 'v2'])).toBeNull();
    });

    it('is any if no upstream of the recorded one stays', () => {
      history.recall(recordOf('v1'), 0);
      expect(history.versionToBegin(SERVICE, ['v2', 'v3'])).toBeNull();
    });

    it('is any without other versions, a record or a recorded service', () => {
      expect(history.versionToBegin(SERVICE, ['v1', 'v2'])).toBeNull();
      history.recall(recordOf('v1'), 0);
      expect(history.versionToBegin(SERVICE, ['v1', 'v1'])).toBeNull();
      expect(history.versionToBegin('other', ['v1', 'v2'])).toBeNull();
      history.restart();
      expect(history.versionToBegin(SERVICE, ['v1', 'v2'])).toBeNull();
    });
  });

  describe('implies', () => {
    it('holds for the only version of the record and of the present', () => {
      see(0, 'v1');
      expect(implies('v1', 1)).toBe(false);
      history.recall(recordOf('v1'), 1);
      expect(implies('v1', 1)).toBe(true);
      expect(implies('v2', 1)).toBe(false);
    });

    it('ends with the first entry of another version, for as long as streams last', () => {
      see(0, 'v1');
      history.recall(recordOf('v1'), 0);
      see(1, 'v1', 'v2');
      expect(implies('v1', 1)).toBe(false);
      see(2, 'v2');
      history.recall(recordOf('v2'), 3);
      expect(implies('v2', 3)).toBe(false);
      const laterMs = 2 + STREAM_ORIGIN_TTL_MS + 1;
      see(laterMs, 'v2');
      expect(implies('v2', laterMs)).toBe(true);
    });

    it('does not hold for upstreams that tell no version', () => {
      see(0, null);
      history.recall(recordOf(null), 0);
      expect(implies('v1', 0)).toBe(false);
    });
  });

  describe('recentVersions', () => {
    it('drops at once what the record has no more and was not seen here', () => {
      see(0, 'v2');
      history.recall(recordOf('v1', 'v2'), 10);
      expect(history.seenVersions(10).get(SERVICE)).toEqual(['v2']);
      history.recall(recordOf('v2'), 20);
      expect(history.recentVersions(20).get(SERVICE)).toEqual(['v2']);
    });

    it('keeps a recorded version for as long as streams last, read once', () => {
      const record = recordOf('v1', 'v2');
      see(0, 'v2');
      history.recall(record, 10);
      expect(history.recentVersions(10).get(SERVICE)).toEqual(['v2', 'v1']);
      const laterMs = 10 + STREAM_ORIGIN_TTL_MS + 1;
      history.recall(record, laterMs);
      expect(history.recentVersions(laterMs).get(SERVICE)).toEqual(['v2']);
    });
  });
});
