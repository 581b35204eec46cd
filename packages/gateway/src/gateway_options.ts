import type {Clock, Logger} from '@fescuespool/common';
import type {ConnectSocket} from '@fescuespool/transport';
import type {BootClock} from './config_state.js';
import type {RolloutStore} from './rollout_store.js';
import type {GatewaySettings} from './settings.js';
import type {StreamStore, WireFormat} from './types.js';

/** Settings and dependencies of a gateway. */
export interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly clock: Clock;
  readonly bootClock: BootClock;
  readonly log: Logger;
  readonly wireFormat: WireFormat;
  /** Opens connections to upstreams. */
  readonly connect: ConnectSocket;
  /** Keeps where streams began when all gateways have ended. */
  readonly streamStore: StreamStore;
  /** Keeps the records of roll-outs; without it there are none. */
  readonly rolloutStore?: RolloutStore;
}
