import {openExchange} from '@fescuespool/transport';
import {EventEmitter, once} from 'node:events';
import http from 'node:http';
import type {ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import type {StreamProgress} from './stream_relay.js';
import {relayStream} from './stream_relay.js';

const EVENT = 'id: 1\ndata: 1\n\n';
/** Longer than a relay needs to end. */
const PATIENCE_MS = 1_000;

const pause = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

/** A response whose caller reads nothing any more. */
class UnreadResponse extends EventEmitter {
  readonly destroyed = false;

  write(): boolean {
    return false;
  }
}

describe('a stream whose caller does not read', () => {
  let upstream: http.Server;
  let respond: (res: ServerResponse) => void;

  beforeEach(async () => {
    upstream = http.createServer((_req, res) => respond(res));
    upstream.listen(0, '127.0.0.1');
    await once(upstream, 'listening');
  });

  afterEach(() => {
    upstream.close();
    upstream.closeAllConnections();
  });

  it.each([
    ['goes on', false],
    ['has ended', true],
  ])('ends at its time limit if its upstream %s', async (_name, hasEnded) => {
    respond = res => {
      res.write(EVENT);
      if (hasEnded) res.end();
    };
    const limit = new AbortController();
    const {port} = upstream.address() as AddressInfo;
    const exchange = await openExchange({
      url: `http://127.0.0.1:${port}/`,
      method: 'GET',
      headers: ['host', 'a'],
      signal: limit.signal,
    });
    const progress: StreamProgress = {
      lastEventId: null,
      softwareVersion: null,
      hasSentHead: false,
      firstEventMs: null,
      longestGapMs: null,
      hasSurvived: false,
    };
    const ignore = (): void => undefined;
    const relay = relayStream(exchange._unsafeUnwrap(), {
      res: new UnreadResponse() as unknown as ServerResponse,
      progress,
      signal: limit.signal,
      share: {resize: ignore, complete: ignore, release: ignore} as never,
      nowMs: () => performance.now(),
      beforeFirstEvent: () => Promise.resolve(),
      writeHead: ignore,
      onFirstEvent: ignore,
      onSurvival: ignore,
      onContent: ignore,
      onWritten: ignore,
    });
    await pause(200);
    limit.abort();
    const end = await Promise.race([
      relay.then(result => result.end),
      pause(PATIENCE_MS).then(() => 'open'),
    ]);
    expect(end).toBe('broken');
  });
});
