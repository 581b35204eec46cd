import type {JsonResponse} from '@fescuespool/bench';
import {
  accountKey,
  callChat,
  callJson,
  Fleet,
  FLEET_PORT,
  smallFleetPlan,
} from '@fescuespool/bench';
import {sleep} from '@fescuespool/common';
import fc from 'fast-check';
import type http from 'node:http';
import net from 'node:net';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

const MEGABYTE = 1_048_576;
const FUZZ_RUNS = 60;
const MAX_RSS_BYTES = 400 * MEGABYTE;

/** Seed printed with each counterexample; change it to explore other inputs. */
const SEED = 20_261_204;

describe('ports of a daemon', () => {
  let fleet: Fleet;
  const callerUrl = (): string => fleet.daemon('entry-1').callerUrl;
  const key = {authorization: `Bearer ${accountKey('customs')}`};

  const post = (
    path: string,
    body: unknown,
    headers: http.OutgoingHttpHeaders = key,
  ): Promise<JsonResponse> =>
    callJson(callerUrl() + path, 'POST', body, headers);
  const chat = (overrides: object): Promise<JsonResponse> =>
    post('/v1/chat/completions', {
      model: 'assist',
      messages: [{role: 'user', content: 'hello'}],
      max_tokens: 4,
      ...overrides,
    });
  /**
   * Sends raw bytes and waits until the connection closes, for 300 ms at most.
   */
  const sendRaw = (port: number, bytes: Buffer | string): Promise<void> =>
    new Promise(resolve => {
      const {address} = fleet.daemon('entry-1');
      const socket = net.connect({host: address, port}, () => {
        socket.end(bytes);
      });
      socket.on('error', () => resolve());
      socket.on('close', () => resolve());
      socket.on('data', () => undefined);
      setTimeout(() => socket.destroy(), 300);
    });

  beforeAll(async () => {
    fleet = await Fleet.start(
      smallFleetPlan({daemons: 2, prefillTokensPerSecond: 500_000}),
    );
  });
  afterAll(() => fleet.close());

  describe('caller requests', () => {
    it('responds correctly to a chat request with a prompt of 1 MiB', async () => {
      const prompt = 'x'.repeat(MEGABYTE);
      const result = await callChat({
        url: callerUrl(),
        account: 'customs',
        service: 'assist',
        prompt,
        maxTokens: 4,
        stream: true,
        deadlineMs: 300_000,
      });
      expect(result).toMatchObject({end: 'whole', isCorrect: true});
    });

    it('refuses invalid requests with reason, outcome and the place of every finding', async () => {
      const tooLarge = await chat({
        messages: [{role: 'user', content: 'x'.repeat(5 * MEGABYTE)}],
      }).catch(() => null);
      if (tooLarge) {
        expect(tooLarge).toMatchObject({
          status: 413,
          body: {reason: 'body_too_large', outcome: 'not_run'},
        });
      }
      const malformed = await post('/v1/chat/completions', {
        messages: [{content: 3}],
        max_tokens: 0,
      });
      expect(malformed).toMatchObject({
        status: 400,
        body: {reason: 'bad_request', outcome: 'not_run'},
      });
      const {findings} = malformed.body as {findings: Array<{place: string}>};
      const places = findings.map(finding => finding.place);
      expect(places).toEqual(
        expect.arrayContaining(['model', 'messages.0.role', 'max_tokens']),
      );
      const unknown = await chat({model: 'nothing'});
      expect(unknown).toMatchObject({
        status: 404,
        body: {reason: 'unknown_service'},
      });
      for (const headers of [{}, {authorization: 'Bearer wrong'}]) {
        const response = await post('/v1/chat/completions', {}, headers);
        expect(response).toMatchObject({
          status: 401,
          body: {reason: 'unauthorized', outcome: 'not_run'},
        });
      }
      const prototype = await chat({model: '__proto__'});
      expect(prototype.status).toBe(404);
    });

    it('reports both invalid headers', async () => {
      const response = await post(
        '/services/ledger/x',
        {},
        {
          ...key,
          'x-request-deadline-ms': 'soon',
          'idempotency-key': 'k'.repeat(300),
        },
      );
      const {findings} = response.body as {findings: unknown[]};
      expect(findings.length).toBe(2);
    });
  });

  describe('with random input', () => {
    const expectAlive = async (): Promise<void> => {
      await sleep(100);
      const daemon = fleet.daemon('entry-1');
      expect(daemon.process.isRunning).toBe(true);
      expect((await chat({})).status).toBe(200);
      const stats = await callJson(`${daemon.operatorUrl}/stats`, 'GET');
      const {rssBytes} = stats.body as {rssBytes: number};
      expect(rssBytes).toBeLessThan(MAX_RSS_BYTES);
    };

    it('responds to random caller and operator bodies with a client error', async () => {
      const {operatorUrl} = fleet.daemon('entry-1');
      await fc.assert(
        fc.asyncProperty(fc.json({maxDepth: 4}), async text => {
          const value = JSON.parse(text) as unknown;
          const responses = await Promise.all([
            post('/v1/chat/completions', value),
            callJson(`${operatorUrl}/config/patch`, 'POST', value),
            callJson(`${operatorUrl}/config/validate`, 'POST', value),
          ]);
          for (const {status} of responses) {
            expect(status).toBeGreaterThanOrEqual(400);
            expect(status).toBeLessThan(500);
          }
        }),
        {numRuns: FUZZ_RUNS, seed: SEED},
      );
      await expectAlive();
    });

    it('stays alive when raw bytes arrive on any port', async () => {
      const ports = [FLEET_PORT.CALLER, FLEET_PORT.OPERATOR, FLEET_PORT.PEER];
      await fc.assert(
        fc.asyncProperty(
          fc.constantFrom(...ports),
          fc.uint8Array({minLength: 1, maxLength: 2_000}),
          (port, bytes) => sendRaw(port, Buffer.from(bytes)),
        ),
        {numRuns: 30, seed: SEED},
      );
      await expectAlive();
    });

    it('stays alive when random peer messages arrive', async () => {
      const method = fc.constantFrom(
        'membership.probe',
        'grant.request',
        'grant.release',
        'cell.register',
        'cell.replicate',
        'config.announce',
        'claim.status',
        'poison.announce',
        'nothing',
      );
      await fc.assert(
        fc.asyncProperty(method, fc.jsonValue(), async (name, params) => {
          const message = {jsonrpc: '2.0', id: 1, method: name, params};
          await sendRaw(FLEET_PORT.PEER, `${JSON.stringify(message)}\n`);
        }),
        {numRuns: 30, seed: SEED},
      );
      const endless = 'x'.repeat(6 * MEGABYTE);
      await sendRaw(FLEET_PORT.PEER, endless);
      await expectAlive();
    });
  });
});
