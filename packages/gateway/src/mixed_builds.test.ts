import {MAX_CRASH_CAUSES, rankMembers} from '@fescuespool/coordination';
import {
  MAX_LIMITED_UPSTREAMS,
  QUEUE_REFUSAL,
  RUN_END,
} from '@fescuespool/scheduling';
import {TUNNEL_STATUS} from '@fescuespool/transport';
import {describe, expect, it} from 'vitest';
import type {z} from 'zod';
import {GATEWAY_METHOD, USAGE_HUB_KEY} from './constants.js';
import {
  CRASH_CAUSES_SCHEMA,
  DEATH_SCHEMA,
  ENDED_SCHEMA,
  GRANT_ANSWER_SCHEMA,
  GRANT_SCHEMA,
  ORIGIN_ANSWER_SCHEMA,
  ORIGIN_SHARED_SCHEMA,
  PARTS_CLEARED_SCHEMA,
  QUEUE_PREVIEW_SCHEMA,
  REPORT_SCHEMA,
  REQUEST_REF_SCHEMA,
  STARTED_SCHEMA,
  STREAM_BEGAN_SCHEMA,
  STREAM_ORIGIN_SCHEMA,
  UPSTREAM_NOTICE_SCHEMA,
  USAGE_ANSWER_SCHEMA,
  USAGE_REPORT_SCHEMA,
} from './messages.js';
import {ORIGIN_KEY_COUNT} from './stream_constants.js';
import {decodeSnapshot} from './stream_snapshot.js';
import {
  EARLIER_CRASH_CAUSES,
  EARLIER_LIMITED_UPSTREAMS,
  EARLIER_SCHEMA,
} from './test_support/earlier_schemas.js';

const ITEM = {
  requestId: 'r-1',
  entryId: 'front-0',
  zone: 'a',
  tier: 11,
  fingerprint: 'ZS6C38vThkZaIftBlwAgCt8fSDI=',
  promptTokens: 0,
  objectiveLeftMs: 182,
  patienceLeftMs: 2_982,
  isRepeatable: false,
  isRetry: true,
  excluded: ['i-9'],
  avoidedZones: ['b'],
};
const HINTS = {
  requiredVersion: null,
  route: 'chat',
  account: 'importer',
  accountQuotaPerS: 400,
  outputTokens: 57,
  maxEventGapMs: 250,
  promptParts: [{id: 'aa01', tokens: 60}],
};
const UPSTREAM = {
  instanceId: 'i-10',
  address: '127.0.0.1:45081',
  zone: 'a',
  slots: 4,
  isLeaving: false,
  startedAtUnixMs: 1_796_455_763_744,
};
const PLACEMENT = {
  expectedStartMs: 23.95,
  waitedMs: 0.02,
  freeSlots: 3,
  isOnTrial: false,
};
const LIMIT = {
  instanceId: 'i-10',
  startedAtUnixMs: null,
  perSecond: 2.5,
  ageMs: 40,
};
const ENDED = {
  requestId: 'r-1',
  runMs: 134,
  eventGapMs: 15.18,
  load: {running: 1, waiting: 0},
};
const ORIGIN = {service: 'app', softwareVersion: 'v1', send: 1};
const CAUSES = {causes: [{part: 'dead01', remainingMs: 300_000}]};

/** Messages of builds since rate limits, each with the defaults of later fields. */
const EARLIER_MESSAGES: readonly [string, z.ZodType, object | true, object?][] =
  [
    [
      'grant request',
      GRANT_SCHEMA,
      {service: 'app', item: ITEM},
      {
        item: {
          isAskedAgain: false,
          lendsRetries: false,
          requiredVersion: null,
          route: null,
          account: null,
          accountQuotaPerS: null,
          outputTokens: null,
          maxEventGapMs: null,
          promptParts: [],
          timeLeftMs: null,
        },
      },
    ],
    [
      'grant request for a version',
      GRANT_SCHEMA,
      {service: 'app', item: {...ITEM, requiredVersion: 'v1'}},
    ],
    [
      'grant request with the hints of a request',
      GRANT_SCHEMA,
      {service: 'app', item: {...ITEM, ...HINTS}},
      {item: {timeLeftMs: null}},
    ],
    [
      'grant request with the time that its caller has',
      GRANT_SCHEMA,
      {service: 'app', item: {...ITEM, ...HINTS, timeLeftMs: 11_900}},
    ],
    [
      'grant request of an entry that lends retries',
      GRANT_SCHEMA,
      {
        service: 'app',
        item: {...ITEM, ...HINTS, timeLeftMs: 11_900, lendsRetries: true},
      },
    ],
    [
      'grant request that is asked for again',
      GRANT_SCHEMA,
      {
        service: 'app',
        item: {...ITEM, ...HINTS, timeLeftMs: 11_900, isAskedAgain: true},
      },
      {item: {lendsRetries: false}},
    ],
    [
      'start with all figures of a load',
      STARTED_SCHEMA,
      {
        service: 'app',
        report: {
          requestId: 'r-1',
          startMs: 13,
          load: {running: 1, waiting: 0, slots: 6, slowdown: 1.3},
        },
      },
    ],
    [
      'grant',
      GRANT_ANSWER_SCHEMA,
      {kind: 'placed', placement: {upstream: UPSTREAM, ...PLACEMENT}},
      {
        placement: {
          upstream: {softwareVersion: null},
          rateLimitPerS: null,
          heldTokens: 0,
          rereadTokens: 0,
        },
      },
    ],
    [
      'grant at a version',
      GRANT_ANSWER_SCHEMA,
      {
        kind: 'placed',
        placement: {
          upstream: {...UPSTREAM, softwareVersion: 'v1'},
          ...PLACEMENT,
          rateLimitPerS: 2.5,
        },
      },
    ],
    ...[
      'overloaded',
      'expired',
      'no_upstream',
      'no_version',
      'budget_spent',
    ].map((reason): [string, z.ZodType, object] => [
      `refusal ${reason}`,
      GRANT_ANSWER_SCHEMA,
      {kind: 'refused', reason, retryAfterMs: 250},
    ]),
    [
      'report of what upstreams said',
      REPORT_SCHEMA,
      {
        service: 'app',
        entryId: 'front-2',
        runs: [],
        limits: [],
        leaving: [{instanceId: 'i-10', startedAtUnixMs: null}],
        pauses: [{instanceId: 'i-10', startedAtUnixMs: null, leftMs: 900}],
      },
    ],
    [
      'notice to a neighbour',
      UPSTREAM_NOTICE_SCHEMA,
      {
        senderId: 'front-2',
        instanceId: 'i-10',
        startedAtUnixMs: null,
        isLeaving: true,
      },
    ],
    [
      'preview of a request',
      QUEUE_PREVIEW_SCHEMA,
      {
        outcome: 'placed',
        reason: 'cheapest',
        chosen: 'i-10',
        expectedWaitMs: 0,
        waiting: 0,
        upstreamCount: 1,
        upstreams: [
          {
            instanceId: 'i-10',
            zone: 'a',
            obstacle: null,
            startMs: 60,
            costMs: 160.5,
            heldTokens: 800,
            freeSlots: 4,
          },
        ],
      },
    ],
    ['moved queue', GRANT_ANSWER_SCHEMA, {kind: 'moved'}],
    ['cancel', REQUEST_REF_SCHEMA, {service: 'app', requestId: 'r-1'}],
    [
      'start',
      STARTED_SCHEMA,
      {service: 'app', report: {requestId: 'r-1', startMs: 13, load: null}},
    ],
    ...[
      'completed',
      'rejected',
      'leaving',
      'replaced',
      'failed',
      'broken',
      'unreachable',
      'silent',
      'cancelled',
    ].map((end): [string, z.ZodType, object, object] => [
      `end ${end}`,
      ENDED_SCHEMA,
      {service: 'app', report: {...ENDED, end}},
      {report: {load: {slots: null, slowdown: null}}},
    ]),
    [
      'report before rate limits',
      REPORT_SCHEMA,
      {
        service: 'app',
        entryId: 'front-2',
        runs: [{requestId: 'r-1', instanceId: 'i-10'}],
      },
      {limits: []},
    ],
    [
      'report before limits of rejections',
      REPORT_SCHEMA,
      {service: 'app', entryId: 'front-2', runs: [], limits: [LIMIT]},
      {limits: [{maxRejectionsPerS: null}]},
    ],
    [
      'usage',
      USAGE_REPORT_SCHEMA,
      {memberId: 'front-1', usage: {importer: 2.5}},
      {configVersion: -1},
    ],
    [
      'answer to usage',
      USAGE_ANSWER_SCHEMA,
      {others: {importer: 4}, heard: null},
      {newestConfig: -1},
    ],
    [
      'death',
      DEATH_SCHEMA,
      {
        fingerprint: 'hy9RbrC/shmGnlQraSuCsrouV2U=',
        instanceId: 'i-12',
        suspectParts: ['aa02', 'dead01'],
      },
    ],
    ['cleared parts', PARTS_CLEARED_SCHEMA, {parts: ['aa01']}],
    ['crash causes', CRASH_CAUSES_SCHEMA, CAUSES],
    ['begun stream', STREAM_BEGAN_SCHEMA, {requestId: 'r-1', origin: ORIGIN}],
    ['taken origin', ORIGIN_SHARED_SCHEMA, true],
    ['question for an origin', STREAM_ORIGIN_SCHEMA, {requestId: 'r-1'}],
    ['origin', ORIGIN_ANSWER_SCHEMA, {origin: ORIGIN}],
    ['unknown origin', ORIGIN_ANSWER_SCHEMA, {origin: null}],
  ];

/** Messages in the form that this build sends, by the types of its schemas. */
const GRANT: z.input<typeof GRANT_SCHEMA> = {
  service: 'app',
  item: {
    ...ITEM,
    ...HINTS,
    requiredVersion: 'v1',
    timeLeftMs: 11_900,
    isAskedAgain: true,
    lendsRetries: true,
  },
};
const GRANTED: z.input<typeof GRANT_ANSWER_SCHEMA> = {
  kind: 'placed',
  placement: {
    upstream: {...UPSTREAM, softwareVersion: 'v1'},
    ...PLACEMENT,
    rateLimitPerS: null,
    heldTokens: 800,
    rereadTokens: 0,
  },
};
const STARTED: z.input<typeof STARTED_SCHEMA> = {
  service: 'app',
  report: {requestId: 'r-1', startMs: 13, load: null},
};
const REPORT: z.input<typeof REPORT_SCHEMA> = {
  service: 'app',
  entryId: 'front-0',
  runs: [{requestId: 'r-1', instanceId: 'i-10'}],
  limits: [{...LIMIT, maxRejectionsPerS: 4}],
};
const USAGE: z.input<typeof USAGE_REPORT_SCHEMA> = {
  memberId: 'front-0',
  usage: {importer: 2.5},
  configVersion: 3,
};
const USAGE_ANSWER: z.input<typeof USAGE_ANSWER_SCHEMA> = {
  others: {importer: 4},
  heard: 3,
  newestConfig: 3,
};
const DEATH: z.input<typeof DEATH_SCHEMA> = {
  fingerprint: 'hy9RbrC/shmGnlQraSuCsrouV2U=',
  instanceId: 'i-12',
  suspectParts: ['aa02'],
};

describe('messages between builds', () => {
  describe('from an earlier build', () => {
    for (const [name, schema, message, added = {}] of EARLIER_MESSAGES) {
      it(`understands a ${name}`, () => {
        const parsed = schema.parse(message);
        if (message === true) expect(parsed).toBe(true);
        else {
          expect(parsed).toMatchObject(message);
          expect(parsed).toMatchObject(added);
        }
      });
    }
  });

  describe('to an earlier build', () => {
    // Only a request that requires a version is refused for want of one.
    const refusals = Object.values(QUEUE_REFUSAL).filter(
      reason => reason !== QUEUE_REFUSAL.NO_VERSION,
    );
    const messages: readonly [string, z.ZodType, z.ZodType, unknown][] = [
      ['grant request', GRANT_SCHEMA, EARLIER_SCHEMA.GRANT, GRANT],
      ['grant', GRANT_ANSWER_SCHEMA, EARLIER_SCHEMA.GRANT_ANSWER, GRANTED],
      ...refusals.map((reason): [string, z.ZodType, z.ZodType, unknown] => [
        `refusal ${reason}`,
        GRANT_ANSWER_SCHEMA,
        EARLIER_SCHEMA.GRANT_ANSWER,
        {kind: 'refused', reason, retryAfterMs: 250},
      ]),
      ['start', STARTED_SCHEMA, EARLIER_SCHEMA.STARTED, STARTED],
      ...Object.values(RUN_END).map(
        (end): [string, z.ZodType, z.ZodType, unknown] => [
          `end ${end}`,
          ENDED_SCHEMA,
          EARLIER_SCHEMA.ENDED,
          {service: 'app', report: {...ENDED, end}},
        ],
      ),
      ['report', REPORT_SCHEMA, EARLIER_SCHEMA.REPORT, REPORT],
      ['usage', USAGE_REPORT_SCHEMA, EARLIER_SCHEMA.USAGE, USAGE],
      [
        'answer to usage',
        USAGE_ANSWER_SCHEMA,
        EARLIER_SCHEMA.USAGE_ANSWER,
        USAGE_ANSWER,
      ],
      ['death', DEATH_SCHEMA, EARLIER_SCHEMA.DEATH, DEATH],
      ['crash causes', CRASH_CAUSES_SCHEMA, EARLIER_SCHEMA.CAUSES, CAUSES],
    ];
    for (const [name, schema, earlier, message] of messages) {
      it(`sends a ${name} that it understands`, () => {
        const sent = schema.parse(message);
        expect(sent).toMatchObject(earlier.parse(sent) as object);
      });
    }

    it('sends no longer lists than it takes', () => {
      expect(MAX_LIMITED_UPSTREAMS).toBeLessThanOrEqual(
        EARLIER_LIMITED_UPSTREAMS,
      );
      expect(MAX_CRASH_CAUSES).toBeLessThanOrEqual(EARLIER_CRASH_CAUSES);
    });

    it('calls methods by the names that it knows', () => {
      expect(GATEWAY_METHOD).toMatchObject({
        PING: 'gateway.ping',
        GRANT: 'gateway.grant',
        CANCEL: 'gateway.cancel',
        STARTED: 'gateway.started',
        ENDED: 'gateway.ended',
        REPORT: 'gateway.report',
        USAGE: 'gateway.usage',
        DEATH: 'gateway.death',
        PARTS_CLEARED: 'gateway.parts_cleared',
        CRASH_CAUSES_FOUND: 'gateway.crash_causes_found',
        CRASH_CAUSES: 'gateway.crash_causes',
        STREAM_BEGAN: 'gateway.stream_began',
        STREAM_ORIGIN: 'gateway.stream_origin',
      });
    });
  });

  describe('from a later build', () => {
    it('frees the slot of a run whose end it does not know', () => {
      const message = {service: 'app', report: {...ENDED, end: 'later'}};
      const {report} = ENDED_SCHEMA.parse(message);
      const load = {...ENDED.load, slots: null, slowdown: null};
      expect(report).toEqual({...ENDED, load, end: RUN_END.CANCELLED});
    });

    it('takes a refusal for a reason that it does not know for no failure', () => {
      const message = {kind: 'refused', reason: 'later', retryAfterMs: 250};
      expect(GRANT_ANSWER_SCHEMA.parse(message)).toEqual({
        ...message,
        reason: QUEUE_REFUSAL.OVERLOADED,
      });
    });
  });
});

describe('what builds agree on without a message', () => {
  it('is the owner of each key', () => {
    const ids = ['front-0', 'front-1', 'front-2', 'front-3'];
    const owners = [
      'app',
      USAGE_HUB_KEY,
      'store-watch',
      'stream-origins-7',
    ].map(key => rankMembers(ids, key).join(' '));
    expect(owners).toEqual([
      'front-1 front-3 front-0 front-2',
      'front-0 front-2 front-1 front-3',
      'front-3 front-0 front-2 front-1',
      'front-0 front-2 front-1 front-3',
    ]);
    expect(ORIGIN_KEY_COUNT).toBe(64);
  });

  it('is what the statuses of tunnels mean', () => {
    expect(TUNNEL_STATUS).toMatchObject({
      OPEN: 200,
      FORBIDDEN: 403,
      UNREACHABLE: 502,
      UNAVAILABLE: 503,
    });
  });

  it('is the form of the snapshots of streams', () => {
    const json =
      '{"streams":[{"service":"app","softwareVersion":"v1",' +
      '"begunBy":[["r-1",2]],"later":1}],"later":1}';
    const decoded = decodeSnapshot('snapshot', Buffer.from(json));
    expect(decoded._unsafeUnwrap()).toEqual([['r-1', {...ORIGIN, send: 2}]]);
  });
});
