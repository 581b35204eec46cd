import {describe, expect, it} from 'vitest';
import {judgeResponse} from './response_verdict.js';
import type {ResponseVerdict} from './response_verdict.js';

const ID = 'request-1';
const HEAD = {
  requestId: ID,
  isSealed: true,
  isNotRun: false,
  isInstanceMismatch: false,
  isLeaving: false,
  pauseMs: null,
  load: null,
  limits: {perSecond: null, maxRejectionsPerS: null},
};
const RESPONSE = {
  status: 200,
  contentType: 'text/event-stream; charset=utf-8',
  requestId: ID,
  isReusedConnection: true,
  isStreamRequest: false,
  hasSentHead: false,
};

function judge(
  headChanges: object,
  changes: Partial<typeof RESPONSE> = {},
): ResponseVerdict {
  const head = {...HEAD, ...headChanges};
  return judgeResponse({...RESPONSE, ...changes, head});
}

describe('judgeResponse', () => {
  describe('for a refusal as not run', () => {
    const refusal = {isNotRun: true, isSealed: false};

    it('takes it for the request that it names', () => {
      expect(judge(refusal, {status: 503})).toBe('not_run');
      const replaced = {...refusal, isInstanceMismatch: true};
      expect(judge(replaced, {status: 421})).toBe('replaced');
    });

    it('takes it for nobody if it names another request, on any connection', () => {
      const other = {...refusal, requestId: 'request-0'};
      for (const isReusedConnection of [true, false]) {
        expect(judge(other, {status: 503, isReusedConnection})).toBe('foreign');
      }
    });

    it('takes it without an id only from a new connection', () => {
      const unnamed = {...refusal, requestId: null};
      expect(judge(unnamed, {status: 503})).toBe('foreign');
      const isReusedConnection = false;
      expect(judge(unnamed, {status: 503, isReusedConnection})).toBe('not_run');
    });
  });

  it('takes no success without the id and the seal', () => {
    expect(judge({})).toBe('whole');
    expect(judge({isSealed: false})).toBe('foreign');
    const isReusedConnection = false;
    expect(judge({requestId: null}, {isReusedConnection})).toBe('foreign');
  });

  it('takes no error without an id from a connection that was used before', () => {
    expect(judge({requestId: null}, {status: 404})).toBe('foreign');
    expect(judge({}, {status: 404})).toBe('whole');
  });

  describe('for a stream', () => {
    const isStreamRequest = true;

    it('forwards a success and buffers an error', () => {
      expect(judge({}, {isStreamRequest})).toBe('stream');
      expect(judge({}, {isStreamRequest, status: 500})).toBe('whole');
    });

    it('goes on only with a stream of events once its head was sent', () => {
      const begun = {isStreamRequest, hasSentHead: true};
      expect(judge({}, begun)).toBe('stream');
      for (const status of [204, 206, 301, 404, 500, 503]) {
        expect(judge({}, {...begun, status})).toBe('not_continuing');
      }
      const contentType = 'application/json';
      expect(judge({}, {...begun, contentType})).toBe('not_continuing');
    });
  });
});
