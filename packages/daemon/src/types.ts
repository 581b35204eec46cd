import type {Clock, Logger, Metrics, ValueOf} from '@fescuespool/common';
import type {Member, Membership} from '@fescuespool/coordination';
import type {ActiveConfig} from '@fescuespool/state';
import type {PeerNetwork} from '@fescuespool/transport';
import type {OPERATOR_SCOPE, REQUEST_PHASE} from './constants.js';
import type {Settings} from './settings.js';

/** Scope of an operator's token. */
export type OperatorScope = ValueOf<typeof OPERATOR_SCOPE>;
/** Phase of an open request. */
export type RequestPhase = ValueOf<typeof REQUEST_PHASE>;

/** What every part of the daemon shares. */
export interface DaemonContext {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly config: ActiveConfig;
  readonly network: PeerNetwork;
  readonly membership: Membership;
  /** Finds the member that dispatches a service, as seen from here. */
  readonly dispatcherOf: (service: string) => Member | null;
}
