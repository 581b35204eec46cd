import {SYSTEM_CLOCK} from '@fescuespool/common';
import type {GrantRequest, UpstreamSpec} from '@fescuespool/scheduling';
import {UpstreamLimits} from '@fescuespool/scheduling';
import {afterEach, describe, expect, it} from 'vitest';
import {Dispatcher} from './dispatcher.js';
import {MemberDirectory} from './member_directory.js';
import {GRANT_REQUEST} from './test_support/dispatch_fixtures.js';

const SERVICE = 'app';
const MEMBER_COUNT = 6;
const BOUNDS = {ratio: 0, extra: 60, windowMs: 10_000};
const UPSTREAM: UpstreamSpec = {
  instanceId: 'u',
  address: '10.0.0.1:80',
  zone: 'a',
  slots: 1_000,
  isLeaving: false,
  startedAtUnixMs: 1,
  softwareVersion: null,
};
const log = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

describe('the retry budget of a service', () => {
  const opened: Dispatcher[] = [];

  afterEach(() => opened.splice(0).forEach(dispatcher => dispatcher.close()));

  const start = (
    members: MemberDirectory,
    isOwner = (): boolean => true,
  ): Dispatcher => {
    const dispatcher = new Dispatcher(
      SYSTEM_CLOCK,
      log,
      BOUNDS,
      new UpstreamLimits(),
      isOwner,
      members.queueMembers,
    );
    opened.push(dispatcher);
    dispatcher.setUpstreams(new Map([[SERVICE, [UPSTREAM]]]));
    return dispatcher;
  };
  const membersOf = (local: number): MemberDirectory => {
    const members = Array.from({length: MEMBER_COUNT}, (_, i) => ({
      id: `m-${i}`,
      zone: 'a',
      address: `10.0.0.${i}:1`,
      isLeaving: false,
      tunnelAddress: null,
    }));
    const directory = new MemberDirectory(members[local]!);
    directory.setMembers(members);
    return directory;
  };
  let requestCount = 0;
  const retry = (entryId: string): GrantRequest => ({
    ...GRANT_REQUEST,
    requestId: `r-${++requestCount}`,
    entryId,
    isRetry: true,
  });
  const grantedRetries = async (dispatcher: Dispatcher): Promise<number> => {
    const answers = await Promise.all(
      Array.from({length: BOUNDS.extra}, () =>
        dispatcher.requestGrant(SERVICE, retry('m-0')),
      ),
    );
    return answers.filter(({kind}) => kind === 'placed').length;
  };

  it('holds for many owners that do not reach each other', async () => {
    let granted = 0;
    for (let local = 0; local < MEMBER_COUNT; local++) {
      const members = membersOf(local);
      for (const {id} of members.otherMembers) members.markSuspected(id);
      granted += await grantedRetries(start(members));
    }
    expect(granted).toBeGreaterThan(0);
    expect(granted).toBeLessThanOrEqual(BOUNDS.extra);
  });

  it('holds when its queue moves away and back', async () => {
    let isOwner = true;
    const dispatcher = start(membersOf(0), () => isOwner);
    let granted = 0;
    for (let i = 0; i < 5; i++) {
      granted += await grantedRetries(dispatcher);
      isOwner = false;
      dispatcher.handOverQueues();
      isOwner = true;
    }
    expect(granted).toBeGreaterThan(0);
    expect(granted).toBeLessThanOrEqual(BOUNDS.extra);
  });
});
