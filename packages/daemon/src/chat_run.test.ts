import type {CallResult, ChatCall} from '@fescuespool/bench';
import {
  callChat,
  findExecutionBreaches,
  Fleet,
  smallFleetPlan,
  waitUntil,
} from '@fescuespool/bench';
import {CRASH_MARKER} from '@fescuespool/stand-ins';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

const LONG_RESPONSE_TOKENS = 120;
const PROMPT = 'summarise the supplier contract '.repeat(60);

describe('chat completions when components fail', () => {
  let fleet: Fleet;
  let serial = 0;

  const chat = (
    entry: string,
    overrides: Partial<ChatCall> = {},
  ): Promise<CallResult> =>
    callChat({
      url: fleet.daemon(entry).callerUrl,
      account: 'customs',
      service: 'assist',
      prompt: `${++serial} ${PROMPT}`,
      maxTokens: LONG_RESPONSE_TOKENS,
      stream: true,
      ...overrides,
    });
  const waitForRun = (): Promise<void> =>
    waitUntil('a stream is running', async () => {
      const records = await fleet.allRecords();
      return records.some(r => r.end === null && r.outputTokens > 2);
    });

  beforeEach(async () => {
    fleet = await Fleet.start(smallFleetPlan({models: 3, applications: 0}));
  });
  afterEach(() => fleet.close());

  describe('when a stream breaks', () => {
    it('resumes a cut stream at its offset, for streamed and whole responses', async () => {
      for (const id of ['engine-1', 'engine-2', 'engine-3']) {
        await fleet.setFaults(id, {cutNext: 1});
      }
      const results = await Promise.all([
        chat('entry-1'),
        chat('entry-2', {stream: false}),
        chat('entry-3'),
      ]);
      for (const result of results) {
        expect(result).toMatchObject({end: 'whole', isCorrect: true});
      }
      expect(findExecutionBreaches(results, await fleet.allRecords())).toEqual(
        [],
      );
    });

    it('never presents a broken response as complete', async () => {
      const calls = [chat('entry-1'), chat('entry-1', {stream: false})];
      await waitForRun();
      for (const id of ['engine-1', 'engine-2', 'engine-3']) {
        await fleet.killUpstream(id);
      }
      const results = await Promise.all(calls);
      for (const result of results) {
        expect(result.end).not.toBe('whole');
        expect(result.problem?.outcome).toBe('partly_run');
      }
    });
  });

  describe('when a caller disconnects', () => {
    it('cancels the run', async () => {
      const controller = new AbortController();
      const gone = chat('entry-1', {signal: controller.signal});
      await waitForRun();
      controller.abort();
      expect((await gone).end).toBe('broken');
      await waitUntil('the run is cancelled', async () => {
        const records = await fleet.allRecords();
        return records.every(record => record.end === 'cancelled');
      });
    });
  });

  describe('when an entry is killed', () => {
    it('joins the running stream when the request is sent again with its key', async () => {
      const call = {key: 'contract-7', prompt: PROMPT};
      const first = chat('entry-2', call);
      await waitForRun();
      await fleet.daemon('entry-2').process.kill();
      expect((await first).end).toBe('broken');
      const again = await chat('entry-3', call);
      expect(again).toMatchObject({end: 'whole', isCorrect: true});
      const records = await fleet.allRecords();
      expect(records.length).toBe(1);
    });
  });

  describe('when a request crashes its upstream', () => {
    it('crashes at most two upstreams, and the others keep serving', async () => {
      const prompt = `${CRASH_MARKER} ${PROMPT}`;
      const results: CallResult[] = [];
      for (let i = 0; i < 6; i++) {
        const entry = `entry-${1 + (i % 3)}`;
        results.push(await chat(entry, {prompt, deadlineMs: 3_000}));
      }
      const dead = [...fleet.upstreams.values()].filter(
        upstream => !upstream.process.isRunning,
      );
      expect(dead.length).toBeLessThanOrEqual(2);
      const reasons = results.map(result => result.problem?.reason);
      expect(reasons).toContain('poison_suspected');
      const unrelated = await chat('entry-1');
      expect(unrelated).toMatchObject({end: 'whole', isCorrect: true});
    });
  });
});
