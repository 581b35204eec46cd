import {sleep} from '@fescuespool/common';
import type {Fleet} from './fleet.js';
import {callJson} from './http_json.js';
import type {Random} from './random.js';
import {pick} from './random.js';

const READINESS_INTERVAL_MS = 100;
const READINESS_TIMEOUT_MS = 500;

/** Simulates the platform's balancer: picks a ready entry for each call. */
export class Balancer {
  private readyIds: string[];
  private readonly stopController = new AbortController();

  constructor(
    private readonly fleet: Fleet,
    private readonly random: Random,
  ) {
    this.readyIds = [...fleet.daemons.keys()];
    void this.runChecks();
  }

  /** Picks an entry that was ready at the last check, or any if none was. */
  pickEntryUrl(): string {
    const ids =
      this.readyIds.length > 0 ? this.readyIds : [...this.fleet.daemons.keys()];
    return this.fleet.daemon(pick(this.random, ids)).callerUrl;
  }

  /** Stops the readiness checks. */
  close(): void {
    this.stopController.abort();
  }

  private async runChecks(): Promise<void> {
    const {signal} = this.stopController;
    while (!signal.aborted) {
      const ids = [...this.fleet.daemons.keys()];
      const readiness = await Promise.all(ids.map(id => this.isReady(id)));
      this.readyIds = ids.filter((_, index) => readiness[index]);
      await sleep(READINESS_INTERVAL_MS, signal);
    }
  }

  private async isReady(id: string): Promise<boolean> {
    const url = `${this.fleet.daemon(id).callerUrl}/readyz`;
    const check = callJson(url, 'GET').then(
      ({status}) => status === 200,
      () => false,
    );
    return Promise.race([check, sleep(READINESS_TIMEOUT_MS).then(() => false)]);
  }
}
