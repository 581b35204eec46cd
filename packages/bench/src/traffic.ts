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

const MAX_BOOKING_ATTEMPTS = 40;
const BOOKING_RETRY_DELAY_MS = 400;

/** Rates and properties of the generated requests. */
export interface TrafficOptions {
  readonly chatsPerSecond: number;
  readonly bookingsPerSecond: number;
  readonly seed: number;
  /** Client accounts that send chats. */
  readonly accounts: readonly string[];
  readonly maxTokens: number;
  readonly deadlineMs: number;
}

/** All attempts at one booking. */
export interface BookingResult {
  /** Idempotency key of every attempt. */
  readonly key: string;
  /** HTTP status of each attempt; 0 where the connection failed. */
  readonly statuses: readonly number[];
  /** Outcomes that the refusals among the responses gave. */
  readonly outcomes: readonly string[];
}

/** Results of all requests that were sent. */
export interface TrafficResult {
  readonly chats: readonly CallResult[];
  /** Client accounts of the chats, in the same order. */
  readonly accounts: readonly string[];
  readonly bookings: readonly BookingResult[];
}

/** Sends chats and bookings with open-loop Poisson arrivals until stopped. */
export class TrafficGenerator {
  private readonly stopController = new AbortController();
  private readonly random: Random;
  private readonly balancer: Balancer;
  private readonly chats: Array<Promise<CallResult>> = [];
  private readonly accounts: string[] = [];
  private readonly bookings: Array<Promise<BookingResult>> = [];
  private readonly arrivalLoops: Array<Promise<void>>;

  constructor(
    fleet: Fleet,
    private readonly options: TrafficOptions,
  ) {
    this.random = createRandom(options.seed);
    this.balancer = new Balancer(fleet, createRandom(options.seed + 1));
    this.arrivalLoops = [
      this.sendAtRate(options.chatsPerSecond, () => this.sendChat()),
      this.sendAtRate(options.bookingsPerSecond, () => this.sendBooking()),
    ];
  }

  /** Number of requests sent so far; retries are not counted. */
  get sentCount(): number {
    return this.chats.length + this.bookings.length;
  }

  /** Stops the arrivals and waits until every request has ended. */
  async stop(): Promise<TrafficResult> {
    this.stopController.abort();
    await Promise.all(this.arrivalLoops);
    const chats = await Promise.all(this.chats);
    const bookings = await Promise.all(this.bookings);
    this.balancer.close();
    return {chats, accounts: this.accounts, bookings};
  }

  private async sendAtRate(perSecond: number, send: () => void): Promise<void> {
    const {signal} = this.stopController;
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
    const index = this.chats.length;
    const wordCount = 10 + Math.floor(this.random() * 300);
    this.accounts.push(account);
    this.chats.push(
      callChat({
        url: this.balancer.pickEntryUrl(),
        account,
        service: 'assist',
        prompt: `${account} asks ${index}: ${'word '.repeat(wordCount)}`,
        maxTokens,
        stream: this.random() < 0.7,
        deadlineMs,
      }),
    );
  }

  private sendBooking(): void {
    const key = `booking-${this.bookings.length}`;
    this.bookings.push(this.sendBookingWithRetries(key));
  }

  /** Retries a booking under one key until a 200 or a 409 settles it. */
  private async sendBookingWithRetries(key: string): Promise<BookingResult> {
    const statuses: number[] = [];
    const outcomes: string[] = [];
    for (let attempt = 0; attempt < MAX_BOOKING_ATTEMPTS; attempt++) {
      const url = `${this.balancer.pickEntryUrl()}/services/ledger/bookings`;
      const headers = {
        authorization: `Bearer ${accountKey('yard')}`,
        'idempotency-key': key,
        'x-request-deadline-ms': String(this.options.deadlineMs),
      };
      const response = await callJson(url, 'POST', {key}, headers).catch(
        () => null,
      );
      statuses.push(response?.status ?? 0);
      if (response?.status === 200) break;
      const problem = response?.body as {outcome?: string} | undefined;
      if (problem?.outcome) outcomes.push(problem.outcome);
      if (response?.status === 409) break;
      await sleep(BOOKING_RETRY_DELAY_MS);
    }
    return {key, statuses, outcomes};
  }
}

/** Counts chats by how they ended, and refused ones by reason. */
export function countEnds(
  chats: readonly CallResult[],
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const {end, problem} of chats) {
    const label = end === CALL_END.REFUSED ? (problem?.reason ?? end) : end;
    counts[label] = (counts[label] ?? 0) + 1;
  }
  return counts;
}
