import type {Clock, Logger} from '@fescuespool/common';
import {afterEach, describe, expect, it} from 'vitest';
import type {OpenRequest} from './open_request.js';
import {sendBufferedResponse} from './open_request.js';
import type {BufferedResponse} from './response_body.js';
import {StopGate} from './stop_gate.js';
import {RunTimes} from './stop_policy.js';
import type {WireFormat} from './types.js';

const GRACE_MS = 8_000;

describe('a request that was answered before its send was aborted', () => {
  const clock: Clock = {monotonicMs: () => 0, wallMs: () => 0};
  const write = (): void => undefined;
  const log: Logger = {debug: write, info: write, warn: write, error: write};
  const gate = new StopGate(clock, log, new RunTimes());

  afterEach(() => gate.close());

  const request = (isAnswered: boolean, sent: string[] = []): OpenRequest =>
    ({
      req: {method: 'GET'},
      res: {
        writableEnded: isAnswered,
        writeHead: () => sent.push('head'),
        end: () => sent.push('end'),
      },
      admission: {route: {name: 'read', kind: 'idempotent'}},
      timer: {ownRemainingMs: 1_000},
    }) as unknown as OpenRequest;

  it('does not begin any more', () => {
    gate.beginGrace(GRACE_MS - 600, GRACE_MS);
    expect(gate.mayBegin(request(false))).toBe(true);
    expect(gate.mayBegin(request(true))).toBe(false);
  });

  it('gets no second response', () => {
    const wire = {callerResponseHeaders: () => []} as unknown as WireFormat;
    const response = {status: 200, rawHeaders: [], body: Buffer.alloc(0)};
    const sentTo = (isAnswered: boolean): string[] => {
      const sent: string[] = [];
      const open = request(isAnswered, sent);
      sendBufferedResponse(open, wire, response as BufferedResponse);
      return sent;
    };
    expect(sentTo(false)).toEqual(['head', 'end']);
    expect(sentTo(true)).toEqual([]);
  });
});
