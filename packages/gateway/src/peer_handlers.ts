import type {PeerHandlers} from '@fescuespool/transport';
import {withValidatedParams} from '@fescuespool/transport';
import {GATEWAY_METHOD} from './constants.js';
import type {CrashGuard} from './crash_guard.js';
import type {Dispatcher} from './dispatcher.js';
import {
  CRASH_CAUSES_SCHEMA,
  DEATH_SCHEMA,
  ENDED_SCHEMA,
  GRANT_SCHEMA,
  PARTS_CLEARED_SCHEMA,
  REPORT_SCHEMA,
  REQUEST_REF_SCHEMA,
  STARTED_SCHEMA,
  STREAM_BEGAN_SCHEMA,
  STREAM_ORIGIN_SCHEMA,
  UPSTREAM_NOTICE_SCHEMA,
  USAGE_REPORT_SCHEMA,
} from './messages.js';
import type {StreamOriginDirectory} from './stream_origin_directory.js';
import type {UpstreamStatements} from './upstream_statements.js';
import type {UsageExchange} from './usage_exchange.js';

/** Parts of a gateway that its peers access through RPC. */
export interface PeerHandlerDependencies {
  readonly dispatcher: Dispatcher;
  readonly usageExchange: UsageExchange;
  readonly crashGuard: CrashGuard;
  readonly streamOrigins: StreamOriginDirectory;
  readonly upstreamStatements: UpstreamStatements;
  /**
   * Resolves once configuration and upstreams are loaded, at the latest after
   * MAX_STARTUP_WAIT_MS.
   */
  readonly whenConfigured: () => Promise<void>;
}

/** Creates the RPC handlers for calls between gateways. */
export function createPeerHandlers(
  dependencies: PeerHandlerDependencies,
): PeerHandlers {
  const {dispatcher, usageExchange, crashGuard, streamOrigins} = dependencies;
  const {upstreamStatements, whenConfigured} = dependencies;
  return {
    [GATEWAY_METHOD.PING]: () => true,
    [GATEWAY_METHOD.GRANT]: withValidatedParams(
      GRANT_SCHEMA,
      async ({service, item}) => {
        await whenConfigured();
        return dispatcher.requestGrant(service, item);
      },
    ),
    [GATEWAY_METHOD.PREVIEW]: withValidatedParams(
      GRANT_SCHEMA,
      ({service, item}) => dispatcher.preview(service, item),
    ),
    [GATEWAY_METHOD.CANCEL]: withValidatedParams(
      REQUEST_REF_SCHEMA,
      ({service, requestId}) => dispatcher.cancel(service, requestId),
    ),
    [GATEWAY_METHOD.STARTED]: withValidatedParams(
      STARTED_SCHEMA,
      ({service, report}) => dispatcher.recordStart(service, report),
    ),
    [GATEWAY_METHOD.ENDED]: withValidatedParams(
      ENDED_SCHEMA,
      ({service, report}) => dispatcher.recordEnd(service, report),
    ),
    [GATEWAY_METHOD.REPORT]: withValidatedParams(REPORT_SCHEMA, report => {
      for (const life of report.leaving) {
        upstreamStatements.adoptLeaving(life, report.entryId);
      }
      dispatcher.reconcile(report);
    }),
    [GATEWAY_METHOD.UPSTREAM_NOTICE]: withValidatedParams(
      UPSTREAM_NOTICE_SCHEMA,
      notice => {
        upstreamStatements.adoptNotice(notice);
        return true;
      },
    ),
    [GATEWAY_METHOD.USAGE]: withValidatedParams(USAGE_REPORT_SCHEMA, report =>
      usageExchange.handleUsageReport(report),
    ),
    [GATEWAY_METHOD.DEATH]: withValidatedParams(DEATH_SCHEMA, report =>
      crashGuard.recordDeath(report),
    ),
    [GATEWAY_METHOD.PARTS_CLEARED]: withValidatedParams(
      PARTS_CLEARED_SCHEMA,
      ({parts}) => crashGuard.recordSurvival(parts),
    ),
    [GATEWAY_METHOD.CRASH_CAUSES_FOUND]: withValidatedParams(
      CRASH_CAUSES_SCHEMA,
      ({causes}) => crashGuard.adoptCauses(causes),
    ),
    [GATEWAY_METHOD.CRASH_CAUSES]: () => ({causes: crashGuard.causes}),
    [GATEWAY_METHOD.STREAM_BEGAN]: withValidatedParams(
      STREAM_BEGAN_SCHEMA,
      ({requestId, origin}) => {
        streamOrigins.record(requestId, origin);
        return true;
      },
    ),
    [GATEWAY_METHOD.STREAM_ORIGIN]: withValidatedParams(
      STREAM_ORIGIN_SCHEMA,
      ({requestId}) => ({origin: streamOrigins.get(requestId)}),
    ),
  };
}
