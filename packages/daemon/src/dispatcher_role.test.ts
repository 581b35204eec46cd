import {SYSTEM_CLOCK} from '@fescuespool/common';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {DispatcherRole} from './dispatcher_role.js';
import {GrantClient} from './grant_client.js';
import type {DaemonContext} from './types.js';

const SERVICE = 'chat';
const CAUSE = {part: 'bad', remainingMs: 60_000};

interface Notice {
  readonly method: string;
  readonly params: {readonly causes: object[]};
}

describe('DispatcherRole', () => {
  let role: DispatcherRole;
  let notices: Notice[];
  let context: DaemonContext;

  beforeEach(() => {
    const ignore = (): void => undefined;
    notices = [];
    context = {
      settings: {memberId: 'self', placementPolicy: 'priced'},
      clock: SYSTEM_CLOCK,
      log: {debug: ignore, info: ignore, warn: ignore, error: ignore},
      metrics: {increment: ignore},
      config: {current: null, onChange: ignore},
      membership: {eligibleIds: () => [], find: () => undefined},
      network: {
        notify: (_peer: unknown, method: string, params: Notice['params']) =>
          notices.push({method, params}),
      },
      dispatcherOf: () => ({id: 'other'}),
    } as unknown as DaemonContext;
    role = new DispatcherRole(context, ignore, () => []);
  });

  afterEach(() => role.close());

  describe('crash causes', () => {
    it('come to a new dispatcher with the runs that entries register', () => {
      const message = {service: SERVICE, memberId: 'entry', running: []};
      role.registerRuns({...message, causes: [CAUSE]});
      expect(role.crashes.hasCause(['first', 'bad'])).toBe(true);
    });

    it('are sent by an entry that registers its runs', () => {
      role.crashes.adoptCauses([CAUSE]);
      const client = new GrantClient(context, () => role);
      client.registerWithDispatchers([SERVICE]);
      expect(notices).toMatchObject([
        {method: 'cell.register', params: {causes: [{part: 'bad'}]}},
      ]);
    });
  });
});
