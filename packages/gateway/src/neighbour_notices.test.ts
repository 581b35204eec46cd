import type {PeerHandlers} from '@fescuespool/transport';
import {PeerNetwork} from '@fescuespool/transport';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {
  GATEWAY_METHOD,
  MIN_PAUSE_CHANGE_MS,
  NEIGHBOUR_NOTICE_ATTEMPTS,
} from './constants.js';
import {MemberDirectory} from './member_directory.js';
import {NeighbourNotices} from './neighbour_notices.js';
import type {GatewayMember} from './types.js';

const HOST = '127.0.0.1';
const LIFE = {instanceId: 'i-1', startedAtUnixMs: 1};
const CALL_TIMEOUT_MS = 500;

function member(id: string, address: string): GatewayMember {
  return {id, zone: 'a', address, isLeaving: false, tunnelAddress: null};
}

describe('NeighbourNotices', () => {
  let nowMs: number;
  let received: unknown[];
  let failures: number;
  let sender: PeerNetwork;
  let receiver: PeerNetwork;
  let neighbour: GatewayMember;
  let notices: NeighbourNotices;
  const warn = vi.fn();

  const listen = async (handlers: PeerHandlers): Promise<void> => {
    const port = await receiver.listen(handlers);
    neighbour = member('front-2', `${HOST}:${port}`);
  };
  const takeNotice = (notice: unknown): boolean => {
    if (failures-- > 0) throw new Error('not taken');
    received.push(notice);
    return true;
  };

  beforeEach(() => {
    vi.clearAllMocks();
    nowMs = 1_000;
    received = [];
    failures = 0;
    sender = new PeerNetwork({host: HOST, port: 0});
    receiver = new PeerNetwork({host: HOST, port: 0});
    const log = vi.fn();
    notices = new NeighbourNotices(
      {monotonicMs: () => nowMs, wallMs: () => nowMs},
      {debug: log, info: log, warn, error: log},
      new MemberDirectory(member('front-1', `${HOST}:1`)),
      sender,
    );
  });

  afterEach(() => {
    sender.close();
    receiver.close();
  });

  it('repeats a notice until the neighbour has taken it, and then sends it no more', async () => {
    await listen({[GATEWAY_METHOD.UPSTREAM_NOTICE]: takeNotice});
    failures = NEIGHBOUR_NOTICE_ATTEMPTS - 1;
    await notices.tellLeaving(neighbour, LIFE);
    await notices.tellLeaving(neighbour, LIFE);
    expect(received).toEqual([
      {senderId: 'front-1', ...LIFE, isLeaving: true, pauseMs: null},
    ]);
    expect(warn).not.toHaveBeenCalled();
  });

  it('tells of each pause that lasts longer than the one told before', async () => {
    await listen({[GATEWAY_METHOD.UPSTREAM_NOTICE]: takeNotice});
    const untilMs = nowMs + 2_000;
    await notices.tellPause(neighbour, {...LIFE, untilMs});
    await notices.tellPause(neighbour, {...LIFE, untilMs: untilMs + 1});
    nowMs += 500;
    const longerMs = untilMs + MIN_PAUSE_CHANGE_MS;
    await notices.tellPause(neighbour, {...LIFE, untilMs: longerMs});
    expect(received).toMatchObject([
      {isLeaving: false, pauseMs: 2_000},
      {isLeaving: false, pauseMs: 1_500 + MIN_PAUSE_CHANGE_MS},
    ]);
  });

  it('gives up at a neighbour of a release without notices, which answers other calls', async () => {
    await listen({[GATEWAY_METHOD.PING]: () => true});
    await notices.tellLeaving(neighbour, LIFE);
    expect(warn).toHaveBeenCalledOnce();
    const answer = await sender.call(
      neighbour,
      GATEWAY_METHOD.PING,
      {},
      CALL_TIMEOUT_MS,
    );
    expect(answer._unsafeUnwrap()).toBe(true);
  });
});
