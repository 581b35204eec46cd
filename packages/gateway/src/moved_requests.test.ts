import {SYSTEM_CLOCK} from '@fescuespool/common';
import type {GrantRequest, UpstreamSpec} from '@fescuespool/scheduling';
import {RUN_END, UpstreamLimits} from '@fescuespool/scheduling';
import {PeerNetwork} from '@fescuespool/transport';
import {afterEach, describe, expect, it, vi} from 'vitest';
import {DispatchClient} from './dispatch_client.js';
import {Dispatcher} from './dispatcher.js';
import {MemberDirectory} from './member_directory.js';
import {PeerMonitor} from './peer_monitor.js';
import {RetryLoans} from './retry_loans.js';
import {GRANT_REQUEST, SILENT_LOG} from './test_support/dispatch_fixtures.js';
import {UpstreamRegistry} from './upstream_registry.js';

const SERVICE = 'app';
const BOUNDS = {ratio: 0.2, extra: 50, windowMs: 10_000};
const MEMBER = {
  id: 'm-1',
  zone: 'a',
  address: '127.0.0.1:1',
  isLeaving: false,
  tunnelAddress: null,
};
const UPSTREAM: UpstreamSpec = {
  instanceId: 'u',
  address: '10.0.0.1:80',
  zone: 'a',
  slots: 1,
  isLeaving: false,
  startedAtUnixMs: 1,
  softwareVersion: null,
};

function grantRequest(requestId: string): GrantRequest {
  return {
    ...GRANT_REQUEST,
    requestId,
    entryId: MEMBER.id,
    fingerprint: requestId,
    objectiveLeftMs: 4_000,
    patienceLeftMs: 8_000,
  };
}

describe('a request that waits while its queue moves', () => {
  const closers: Array<() => void> = [];

  afterEach(() => closers.splice(0).forEach(close => close()));

  it('adds to the retry budget once', async () => {
    const members = new MemberDirectory(MEMBER);
    const network = new PeerNetwork({host: '127.0.0.1', port: 1});
    const monitor = new PeerMonitor(SYSTEM_CLOCK, SILENT_LOG, members, network);
    const limits = new UpstreamLimits();
    let isOwner = true;
    const dispatcher = new Dispatcher(
      SYSTEM_CLOCK,
      SILENT_LOG,
      BOUNDS,
      limits,
      () => isOwner,
      members.queueMembers,
    );
    const upstreams = new Map([[SERVICE, [UPSTREAM]]]);
    dispatcher.setUpstreams(upstreams);
    const registry = new UpstreamRegistry();
    registry.replace(upstreams, 0);
    const client = new DispatchClient(
      SYSTEM_CLOCK,
      SILENT_LOG,
      members,
      network,
      monitor,
      dispatcher,
      limits,
      registry,
      new RetryLoans(() => BOUNDS.windowMs),
    );
    closers.push(
      () => client.close(),
      () => dispatcher.close(),
      () => monitor.close(),
      () => network.close(),
    );
    const {signal} = new AbortController();
    const acquire = (id: string): ReturnType<DispatchClient['acquire']> =>
      client.acquire(SERVICE, grantRequest(id), signal);
    const stats = ():
      ReturnType<Dispatcher['queueStats']>[number] | undefined =>
      dispatcher.queueStats()[0];
    await acquire('running');
    const waiting = acquire('waiting');
    for (let moves = 0; moves < 3; moves++) {
      await vi.waitUntil(() => stats()?.waiting === 1);
      isOwner = false;
      dispatcher.handOverQueues();
      isOwner = true;
      // Its run is not known to the new queue, so that no slot is free.
      dispatcher.reconcile({
        service: SERVICE,
        entryId: MEMBER.id,
        runs: [{requestId: 'running', instanceId: UPSTREAM.instanceId}],
        limits: [],
        leaving: [],
        pauses: [],
      });
    }
    await vi.waitUntil(() => stats()?.waiting === 1);
    client.reportEnd({
      requestId: 'running',
      end: RUN_END.COMPLETED,
      runMs: 1,
      eventGapMs: null,
      load: null,
    });
    expect(await waiting).toMatchObject({kind: 'placed'});
    expect(stats()?.requestsCounted).toBe(2);
  });
});
