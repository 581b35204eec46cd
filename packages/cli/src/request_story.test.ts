import {describe, expect, it} from 'vitest';
import {parseLogLine, explainRequest} from './request_story.js';

const PLACED =
  'time=2026-03-01T10:00:00.010Z level=info event=placed id=r1 service=app upstream=i-1 waitedMs=0';
const FAILED =
  'time=2026-03-01T10:00:00.050Z level=warn event=send_failed id=r1 upstream=i-1 end=broken cause="read ECONNRESET" mayHaveRun=true';
const REFUSED =
  'time=2026-03-01T10:00:00.060Z level=warn event=request_refused id=r1 status=502 reason=upstream_failed elapsedMs=55';

function story(id: string, ...lines: string[]): string {
  const parsed = lines
    .map(line => parseLogLine('a.log', line))
    .filter(line => line !== null);
  return explainRequest(id, parsed).summary;
}

describe('parseLogLine', () => {
  it('reads quoted values', () => {
    expect(parseLogLine('a', FAILED)?.fields['cause']).toBe('read ECONNRESET');
  });

  it('passes over lines that are none of ours', () => {
    expect(parseLogLine('a', 'something else')).toBeNull();
  });
});

describe('tellStory', () => {
  it('orders the lines of several logs by time', () => {
    const lines = [REFUSED, PLACED, FAILED].map((line, i) =>
      parseLogLine(`${i}.log`, line),
    );
    const told = explainRequest(
      'r1',
      lines.filter(line => line !== null),
    );
    expect(told.lines.map(line => line.event)).toEqual([
      'placed',
      'send_failed',
      'request_refused',
    ]);
  });

  it('says where it failed, and whether it may have run', () => {
    expect(story('r1', PLACED, FAILED, REFUSED)).toBe(
      'Refused with 502 after 55 ms: its upstream failed, and it may have run. It failed at i-1 (read ECONNRESET).',
    );
  });

  it('says that a request has no end in the logs', () => {
    expect(story('r1', PLACED)).toBe('It has no end in these logs.');
  });

  it('says that no line names a request', () => {
    expect(story('other', PLACED)).toBe('No line names this request.');
  });
});
