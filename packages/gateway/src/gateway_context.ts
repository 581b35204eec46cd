import type {Clock, Logger} from '@fescuespool/common';
import type {QuotaLedger} from '@fescuespool/scheduling';
import type {ConfigState} from './config_state.js';
import type {ConfirmedConnections} from './confirmed_connections.js';
import type {CrashGuard} from './crash_guard.js';
import type {DispatchClient} from './dispatch_client.js';
import type {GatewayMetrics} from './gateway_metrics.js';
import type {LimitObserver} from './limit_observer.js';
import type {MemberDirectory} from './member_directory.js';
import type {GatewaySettings} from './settings.js';
import type {OriginHistory} from './origin_history.js';
import type {Rollouts} from './rollouts.js';
import type {CallerBudget} from './caller_budget.js';
import type {StopGate} from './stop_gate.js';
import type {RunTimes} from './stop_policy.js';
import type {StreamArchive} from './stream_archive.js';
import type {StreamOriginDirectory} from './stream_origin_directory.js';
import type {WireFormat} from './types.js';
import type {UpstreamPaths} from './upstream_paths.js';
import type {UpstreamRegistry} from './upstream_registry.js';
import type {UpstreamStatements} from './upstream_statements.js';

/** Dependencies shared by all requests of a gateway. */
export interface GatewayContext {
  /** Replaced when the settings are reloaded. */
  settings: GatewaySettings;
  readonly clock: Clock;
  readonly log: Logger;
  readonly wireFormat: WireFormat;
  readonly configState: ConfigState;
  readonly members: MemberDirectory;
  readonly dispatchClient: DispatchClient;
  readonly quotaLedger: QuotaLedger;
  readonly crashGuard: CrashGuard;
  readonly limitObserver: LimitObserver;
  readonly originHistory: OriginHistory;
  readonly streamArchive: StreamArchive;
  readonly streamOrigins: StreamOriginDirectory;
  readonly upstreamPaths: UpstreamPaths;
  readonly confirmedConnections: ConfirmedConnections;
  readonly upstreams: UpstreamRegistry;
  readonly rollouts: Rollouts;
  readonly upstreamStatements: UpstreamStatements;
  readonly callerBudget: CallerBudget;
  readonly runTimes: RunTimes;
  readonly stopGate: StopGate;
  readonly random: () => number;
  /**
   * Resolves once configuration and upstreams are loaded, at the latest after
   * MAX_STARTUP_WAIT_MS.
   */
  readonly whenConfigured: () => Promise<void>;
  readonly metrics: GatewayMetrics;
}
