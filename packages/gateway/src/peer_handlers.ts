import type {PoisonRegistry} from '@fescuespool/coordination';
import type {PeerHandlers} from '@fescuespool/transport';
import {withValidatedParams} from '@fescuespool/transport';
import {GATEWAY_METHOD} from './constants.js';
import type {Dispatcher} from './dispatcher.js';
import {
  DEATH_SCHEMA,
  ENDED_SCHEMA,
  GRANT_SCHEMA,
  REPORT_SCHEMA,
  REQUEST_REF_SCHEMA,
  STARTED_SCHEMA,
  USAGE_REPORT_SCHEMA,
} from './messages.js';
import type {UsageExchange} from './usage_exchange.js';

/** Parts of a gateway that its peers call. */
export interface PeerHandlerDependencies {
  readonly dispatcher: Dispatcher;
  readonly usage: UsageExchange;
  readonly crashes: PoisonRegistry;
  /** Resolves once routes and upstreams are known, or after a bounded wait. */
  readonly whenConfigured: () => Promise<void>;
}

/** Makes the handlers of everything that peers may call. */
export function createPeerHandlers(
  parts: PeerHandlerDependencies,
): PeerHandlers {
  const {dispatcher, usage, crashes, whenConfigured} = parts;
  return {
    [GATEWAY_METHOD.PING]: () => true,
    [GATEWAY_METHOD.GRANT]: withValidatedParams(
      GRANT_SCHEMA,
      async ({service, item}) => {
        await whenConfigured();
        return dispatcher.requestGrant(service, item);
      },
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
    [GATEWAY_METHOD.REPORT]: withValidatedParams(
      REPORT_SCHEMA,
      ({service, entryId, runs}) =>
        dispatcher.reconcile(service, entryId, runs),
    ),
    [GATEWAY_METHOD.USAGE]: withValidatedParams(
      USAGE_REPORT_SCHEMA,
      ({memberId, usage: units}) => usage.handleUsageReport(memberId, units),
    ),
    [GATEWAY_METHOD.DEATH]: withValidatedParams(
      DEATH_SCHEMA,
      ({fingerprint, instanceId}) =>
        crashes.recordDeath(fingerprint, instanceId),
    ),
  };
}
