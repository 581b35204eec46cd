import {sleep} from '@fescuespool/common';
import {Balancer} from './balancer.js';
import type {CallResult} from './caller.js';
import {callChat} from './caller.js';
import {CALL_END} from './constants.js';
import type {Fleet} from './fleet.js';
import {accountKey} from './fleet.js';
import {callJson} from './http_json.js';
import type {Random} from './random.js';
import {createRandom, nextInterarrivalMs, pick} from './random.js';

const MAX_BOOKING_TRIES = 40;
const BOOKING_RETRY_MS = 400;

/** Mixed traffic of a small fleet. */
export interface TrafficOptions {
  readonly chatsPerSecond: number;
  readonly bookingsPerSecond: number;
  readonly seed: number;
  /** Accounts that send chats. */
  readonly accounts: readonly string[];
  readonly maxTokens: number;
  readonly deadlineMs: number;
}

/** One booking with every answer that its caller received. */
export interface BookingResult {
  readonly key: string;
  readonly statuses: readonly number[];
  /** Outcomes of the refusals among the answers. */
  readonly outcomes: readonly string[];
}

/** What became of the traffic. */
export interface TrafficResult {
  readonly chats: readonly CallResult[];
  /** Accounts of the chats, in the same order. */
  readonly accounts: readonly string[];
  readonly bookings: readonly BookingResult[];
}

/** Sends chats and bookings with open-loop arrivals until it is stopped. */
export class TrafficGenerator {
  private readonly stopped = new AbortController();
  private readonly random: Random;
  private readonly balancer: Balancer;
  private readonly chats: Array<Promise<CallResult>> = [];
  private readonly accounts: string[] = [];
  private readonly bookings: Array<Promise<BookingResult>> = [];
  private readonly loops: Array<Promise<void>>;

  constructor(
    fleet: Fleet,
    private readonly options: TrafficOptions,
  ) {
    this.random = createRandom(options.seed);
    this.balancer = new Balancer(fleet, createRandom(options.seed + 1));
    this.loops = [
      this.loop(options.chatsPerSecond, () => this.sendChat()),
      this.loop(options.bookingsPerSecond, () => this.sendBooking()),
    ];
  }

  /** Requests sent so far. */
  get sentCount(): number {
    return this.chats.length + this.bookings.length;
  }

  /** Stops the arrivals and waits for every answer. */
  async stop(): Promise<TrafficResult> {
    this.stopped.abort();
    await Promise.all(this.loops);
    const chats = await Promise.all(this.chats);
    const bookings = await Promise.all(this.bookings);
    this.balancer.close();
    return {chats, accounts: this.accounts, bookings};
  }

  private async loop(perSecond: number, send: () => void): Promise<void> {
    const {signal} = this.stopped;
    let dueMs = performance.now();
    while (!signal.aborted && perSecond > 0) {
      dueMs += nextInterarrivalMs(this.random, perSecond);
      const waitMs = dueMs - performance.now();
      if (waitMs > 0) await sleep(waitMs, signal);
      if (!signal.aborted) send();
    }
  }

  private sendChat(): void {
    const {accounts, maxTokens, deadlineMs} = this.options;
    const account = pick(this.random, accounts);
    const number = this.chats.length;
    const words = 10 + Math.floor(this.random() * 300);
    this.accounts.push(account);
    this.chats.push(
      callChat({
        url: this.balancer.pickEntryUrl(),
        account,
        service: 'assist',
        prompt: `${account} asks ${number}: ${'word '.repeat(words)}`,
        maxTokens,
        stream: this.random() < 0.7,
        deadlineMs,
      }),
    );
  }

  private sendBooking(): void {
    const key = `booking-${this.bookings.length}`;
    this.bookings.push(this.book(key));
  }

  /** A caller that sends again until it has an answer that settles it. */
  private async book(key: string): Promise<BookingResult> {
    const statuses: number[] = [];
    const outcomes: string[] = [];
    for (let i = 0; i < MAX_BOOKING_TRIES; i++) {
      const url = `${this.balancer.pickEntryUrl()}/services/ledger/bookings`;
      const headers = {
        authorization: `Bearer ${accountKey('yard')}`,
        'idempotency-key': key,
        'x-request-deadline-ms': String(this.options.deadlineMs),
      };
      const answer = await callJson(url, 'POST', {key}, headers).catch(
        () => null,
      );
      statuses.push(answer?.status ?? 0);
      if (answer?.status === 200) break;
      const problem = answer?.body as {outcome?: string} | undefined;
      if (problem?.outcome) outcomes.push(problem.outcome);
      if (answer?.status === 409) break;
      await sleep(BOOKING_RETRY_MS);
    }
    return {key, statuses, outcomes};
  }
}

/** Chats by the way in which they ended. */
export function countEnds(
  chats: readonly CallResult[],
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const {end, problem} of chats) {
    const name = end === CALL_END.REFUSED ? (problem?.reason ?? end) : end;
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}
