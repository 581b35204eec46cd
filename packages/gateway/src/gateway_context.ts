import type {Clock, Logger} from '@fescuespool/common';
import type {PoisonRegistry} from '@fescuespool/coordination';
import type {QuotaLedger} from '@fescuespool/scheduling';
import type {Agent} from 'node:http';
import type {ConfigState} from './config_state.js';
import type {DispatchClient} from './dispatch_client.js';
import type {GatewayMetrics} from './gateway_metrics.js';
import type {MemberDirectory} from './member_directory.js';
import type {GatewaySettings} from './settings.js';
import type {WireFormat} from './types.js';
import type {UpstreamRegistry} from './upstream_registry.js';

/** What every request of a gateway shares. */
export interface GatewayContext {
  /** Replaced when the settings are read again. */
  settings: GatewaySettings;
  readonly clock: Clock;
  readonly log: Logger;
  readonly wire: WireFormat;
  readonly config: ConfigState;
  readonly members: MemberDirectory;
  readonly dispatch: DispatchClient;
  readonly quotas: QuotaLedger;
  readonly crashes: PoisonRegistry;
  /** Connections to upstreams that may be used again. */
  readonly agent: Agent;
  readonly upstreams: UpstreamRegistry;
  readonly random: () => number;
  /** Resolves once routes and upstreams are known, or after a bounded wait. */
  readonly whenConfigured: () => Promise<void>;
  /** Counts the death of an upstream here and at the other members. */
  readonly announceDeath: (fingerprint: string, instanceId: string) => void;
  readonly metrics: GatewayMetrics;
}
