import {RUN_END} from '@fescuespool/scheduling';
import {describe, expect, it} from 'vitest';
import type {BufferedResponse} from './response_body.js';
import {failedRun, notRun} from './send_outcome.js';
import {SendRecord} from './send_record.js';

describe('what is known of the sends of a request', () => {
  const failed = failedRun(RUN_END.FAILED, 'status 500');
  const errorResponse = {status: 500} as BufferedResponse;

  it('is that an upstream has it only during a send', () => {
    const sends = new SendRecord();
    expect(sends.awaitsUpstream).toBe(false);
    sends.begin();
    expect(sends).toMatchObject({count: 1, awaitsUpstream: true});
    sends.end(failed);
    expect(sends).toMatchObject({count: 1, awaitsUpstream: false});
  });

  it('tells runs from sends that did not run', () => {
    const sends = new SendRecord();
    for (const outcome of [notRun(RUN_END.REJECTED, 'busy', true), failed]) {
      sends.begin();
      sends.end(outcome);
    }
    expect(sends).toMatchObject({possibleArrivals: 2, possibleRuns: 1});
  });

  it('keeps an error response for the caller, also during a later send', () => {
    const sends = new SendRecord();
    sends.begin();
    sends.end({...failed, errorResponse});
    sends.begin();
    expect(sends).toMatchObject({errorResponse, awaitsUpstream: false});
  });
});
