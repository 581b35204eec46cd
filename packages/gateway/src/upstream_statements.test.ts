import {UpstreamPauses} from '@fescuespool/scheduling';
import type {UpstreamSpec} from '@fescuespool/scheduling';
import net from 'node:net';
import {beforeEach, describe, expect, it, vi} from 'vitest';
import {MIN_PAUSE_CHANGE_MS} from './constants.js';
import {REPORT_SCHEMA, UPSTREAM_NOTICE_SCHEMA} from './messages.js';
import type {NeighbourNotices} from './neighbour_notices.js';
import type {GatewayMember, UpstreamResponseHead} from './types.js';
import type {UpstreamPaths} from './upstream_paths.js';
import {UpstreamRegistry} from './upstream_registry.js';
import {UpstreamStatements} from './upstream_statements.js';

const ADDRESS = '10.0.0.1:80';

function upstream(changes: Partial<UpstreamSpec> = {}): UpstreamSpec {
  return {
    instanceId: 'i-1',
    address: ADDRESS,
    zone: 'a',
    slots: 1,
    isLeaving: false,
    startedAtUnixMs: 1,
    softwareVersion: null,
    ...changes,
  };
}

function responseHead(
  changes: Partial<UpstreamResponseHead>,
): UpstreamResponseHead {
  return {
    requestId: 'r-1',
    isSealed: true,
    isNotRun: false,
    isInstanceMismatch: false,
    isLeaving: false,
    pauseMs: null,
    load: null,
    limits: {perSecond: null, maxRejectionsPerS: null},
    ...changes,
  };
}

describe('UpstreamStatements', () => {
  let nowMs: number;
  let registry: UpstreamRegistry;
  let statements: UpstreamStatements;
  let neighbour: GatewayMember | null;
  const onLeaving = vi.fn();
  const onPause = vi.fn();
  const tellLeaving = vi.fn(async () => undefined);
  const tellPause = vi.fn(async () => undefined);

  beforeEach(() => {
    vi.clearAllMocks();
    nowMs = 1_000;
    neighbour = null;
    registry = new UpstreamRegistry();
    registry.replace(new Map([['app', [upstream()]]]), 0);
    const log = vi.fn();
    statements = new UpstreamStatements({
      clock: {monotonicMs: () => nowMs, wallMs: () => nowMs},
      log: {debug: log, info: log, warn: log, error: log},
      memberId: 'front-1',
      upstreams: registry,
      pauses: new UpstreamPauses(),
      paths: {neighbourOf: () => neighbour} as unknown as UpstreamPaths,
      neighbours: {tellLeaving, tellPause} as unknown as NeighbourNotices,
      onLeaving,
      onPause,
    });
  });

  const hear = (changes: Partial<UpstreamResponseHead>): void =>
    statements.recordResponse({
      upstream: upstream(),
      head: responseHead(changes),
      socket: new net.Socket(),
      requestId: 'r-1',
    });
  const register = (...specs: UpstreamSpec[]): void =>
    registry.replace(new Map([['app', specs]]), 0);

  it('declines an address only while all upstreams there leave or are paused', () => {
    expect(statements.declines(ADDRESS)).toBe(false);
    hear({isLeaving: true});
    expect(statements.declines(ADDRESS)).toBe(true);
    register(upstream(), upstream({instanceId: 'i-2'}));
    expect(statements.declines(ADDRESS)).toBe(false);
    statements.adoptNotice({
      senderId: 'front-2',
      instanceId: 'i-2',
      startedAtUnixMs: 1,
      isLeaving: false,
      pauseMs: 500,
    });
    expect(statements.declines(ADDRESS)).toBe(true);
    nowMs += 500;
    expect(statements.declines(ADDRESS)).toBe(false);
    register();
    expect(statements.declines(ADDRESS)).toBe(false);
  });

  it('reports a leaving upstream once', () => {
    hear({isLeaving: true});
    hear({isLeaving: true});
    expect(onLeaving).toHaveBeenCalledOnce();
  });

  it('reports a pause again only if it has become longer', () => {
    hear({pauseMs: 2_000});
    nowMs += MIN_PAUSE_CHANGE_MS - 1;
    hear({pauseMs: 2_000});
    expect(onPause).toHaveBeenCalledOnce();
    hear({pauseMs: 2_000 + MIN_PAUSE_CHANGE_MS});
    expect(onPause).toHaveBeenCalledTimes(2);
    expect(statements.pauseLeftMs(upstream())).toBe(
      2_000 + MIN_PAUSE_CHANGE_MS,
    );
  });

  it('counts a pause for one life of the upstream', () => {
    hear({pauseMs: 2_000});
    expect(statements.pauseLeftMs(upstream({startedAtUnixMs: 2}))).toBe(0);
  });

  it('tells the neighbour whose tunnel carried the response, and nobody else', () => {
    hear({isLeaving: true, pauseMs: 2_000});
    expect(tellLeaving).not.toHaveBeenCalled();
    expect(tellPause).not.toHaveBeenCalled();
    neighbour = {
      id: 'front-2',
      zone: 'a',
      address: '10.0.0.2:1',
      isLeaving: false,
      tunnelAddress: '10.0.0.2:2',
    };
    hear({isLeaving: true, pauseMs: 2_000});
    expect(tellLeaving).toHaveBeenCalledWith(neighbour, {
      instanceId: 'i-1',
      startedAtUnixMs: 1,
    });
    expect(tellPause).toHaveBeenCalledWith(neighbour, {
      instanceId: 'i-1',
      startedAtUnixMs: 1,
      untilMs: nowMs + 2_000,
    });
  });
});

describe('messages between releases', () => {
  it('take a run report without leaving or paused upstreams', () => {
    const report = {service: 'app', entryId: 'front-1', runs: []};
    expect(REPORT_SCHEMA.parse(report)).toMatchObject({
      leaving: [],
      pauses: [],
    });
  });

  it('take a notice with fields that are not known, and without others', () => {
    const notice = {senderId: 'a', instanceId: 'i-1', startedAtUnixMs: null};
    expect(UPSTREAM_NOTICE_SCHEMA.parse({...notice, isNew: true})).toEqual({
      ...notice,
      isLeaving: false,
      pauseMs: null,
    });
  });
});
