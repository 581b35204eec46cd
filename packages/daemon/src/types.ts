import type {Clock, Logger, Metrics, ValueOf} from '@fescuespool/common';
import type {Member, Membership} from '@fescuespool/coordination';
import type {ActiveConfig} from '@fescuespool/state';
import type {PeerNetwork} from '@fescuespool/transport';
import type {OPERATOR_SCOPE, REQUEST_PHASE} from './constants.js';
import type {Settings} from './settings.js';

/** What an operator's token permits. */
export type OperatorScope = ValueOf<typeof OPERATOR_SCOPE>;
/** Progress of an open request at its entry. */
export type RequestPhase = ValueOf<typeof REQUEST_PHASE>;

/** Services and state that all parts of the daemon share. */
export interface DaemonContext {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly config: ActiveConfig;
  readonly network: PeerNetwork;
  readonly membership: Membership;
  /** Finds a service's dispatcher in this process's view of the members. */
  readonly dispatcherOf: (service: string) => Member | null;
}
