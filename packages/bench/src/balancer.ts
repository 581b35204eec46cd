import {sleep} from '@fescuespool/common';
import type {Fleet} from './fleet.js';
import {callJson} from './http_json.js';
import type {Random} from './random.js';
import {pick} from './random.js';

const CHECK_PERIOD_MS = 100;
const CHECK_TIMEOUT_MS = 500;

/** Stands for the platform's balancer: sends callers to ready entries. */
export class Balancer {
  private ready: string[];
  private readonly stopped = new AbortController();

  constructor(
    private readonly fleet: Fleet,
    private readonly random: Random,
  ) {
    this.ready = [...fleet.daemons.keys()];
    void this.check();
  }

  /** URL of an entry that was ready at the last check. */
  pickEntryUrl(): string {
    const ids =
      this.ready.length > 0 ? this.ready : [...this.fleet.daemons.keys()];
    return this.fleet.daemon(pick(this.random, ids)).callerUrl;
  }

  /** Stops the checks. */
  close(): void {
    this.stopped.abort();
  }

  private async check(): Promise<void> {
    const {signal} = this.stopped;
    while (!signal.aborted) {
      const ids = [...this.fleet.daemons.keys()];
      const states = await Promise.all(ids.map(id => this.isReady(id)));
      this.ready = ids.filter((_, index) => states[index]);
      await sleep(CHECK_PERIOD_MS, signal);
    }
  }

  private async isReady(id: string): Promise<boolean> {
    const url = `${this.fleet.daemon(id).callerUrl}/readyz`;
    const answer = callJson(url, 'GET').then(
      ({status}) => status === 200,
      () => false,
    );
    return Promise.race([answer, sleep(CHECK_TIMEOUT_MS).then(() => false)]);
  }
}
