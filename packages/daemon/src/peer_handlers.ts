import type {Member} from '@fescuespool/coordination';
import {
  CLAIM_COPY_SCHEMA,
  CLAIM_REF_SCHEMA,
  CONFIG_ANNOUNCE_SCHEMA,
  CONFIG_SECTION_REQUEST_SCHEMA,
  GRANT_REQUEST_SCHEMA,
  INDIRECT_PROBE_SCHEMA,
  PEER_METHOD,
  POISON_ANNOUNCE_SCHEMA,
  PROBE_SCHEMA,
  PROGRESS_SCHEMA,
  REGISTER_SCHEMA,
  RELEASE_SCHEMA,
  REPLICATE_SCHEMA,
  REQUEST_LIST_SCHEMA,
  REQUEST_REF_SCHEMA,
} from '@fescuespool/protocol';
import type {PeerHandlers} from '@fescuespool/transport';
import {withValidatedParams} from '@fescuespool/transport';
import type {ClaimGate} from './claim_gate.js';
import type {ConfigSync} from './config_sync.js';
import type {DispatcherRole} from './dispatcher_role.js';
import type {GrantClient} from './grant_client.js';
import type {OpenRequests} from './open_requests.js';
import type {TraceLog} from './trace_log.js';
import type {DaemonContext} from './types.js';

/** Parts of the daemon that serve calls from peers. */
export interface PeerHandlerDependencies {
  readonly context: DaemonContext;
  readonly dispatcher: DispatcherRole;
  readonly configSync: ConfigSync;
  readonly claimGate: ClaimGate;
  readonly openRequests: OpenRequests;
  readonly grantClient: GrantClient;
  readonly traces: TraceLog;
}

/** Creates a handler for each JSON-RPC method that peers may call. */
export function createPeerHandlers(
  dependencies: PeerHandlerDependencies,
): PeerHandlers {
  const {
    context,
    dispatcher,
    configSync,
    claimGate,
    openRequests,
    grantClient,
    traces,
  } = dependencies;
  const {membership, config} = context;
  return {
    [PEER_METHOD.PROBE]: withValidatedParams(PROBE_SCHEMA, message =>
      membership.handleProbe(message),
    ),
    [PEER_METHOD.INDIRECT_PROBE]: withValidatedParams(
      INDIRECT_PROBE_SCHEMA,
      ({target}) => membership.probeForPeer(target),
    ),
    [PEER_METHOD.GRANT]: withValidatedParams(GRANT_REQUEST_SCHEMA, request =>
      dispatcher.requestGrant(request),
    ),
    [PEER_METHOD.CANCEL]: withValidatedParams(REQUEST_REF_SCHEMA, ref =>
      dispatcher.cancel(ref.service, ref.requestId),
    ),
    [PEER_METHOD.PROGRESS]: withValidatedParams(PROGRESS_SCHEMA, report =>
      dispatcher.recordProgress(report),
    ),
    [PEER_METHOD.RELEASE]: withValidatedParams(RELEASE_SCHEMA, report => {
      dispatcher.recordEnd(report);
      return true;
    }),
    [PEER_METHOD.PREEMPT]: withValidatedParams(REQUEST_REF_SCHEMA, ref =>
      openRequests.preempt(ref.requestId),
    ),
    [PEER_METHOD.VERIFY]: withValidatedParams(
      REQUEST_LIST_SCHEMA,
      ({requestIds}) => ({
        requestIds: grantClient.filterEnded(requestIds),
      }),
    ),
    [PEER_METHOD.REGISTER]: withValidatedParams(REGISTER_SCHEMA, message =>
      dispatcher.registerRuns(message),
    ),
    [PEER_METHOD.REPLICATE]: withValidatedParams(REPLICATE_SCHEMA, run =>
      dispatcher.recordReplica(run),
    ),
    [PEER_METHOD.CONFIG_HEAD]: () => ({entry: config.current?.entry ?? null}),
    [PEER_METHOD.CONFIG_SECTION]: withValidatedParams(
      CONFIG_SECTION_REQUEST_SCHEMA,
      ref => ({
        section: configSync.sectionOf(ref.name, ref.key),
      }),
    ),
    [PEER_METHOD.CONFIG_ANNOUNCE]: withValidatedParams(
      CONFIG_ANNOUNCE_SCHEMA,
      params => {
        const from: Member = params.from;
        void configSync.handleAnnouncement(params.entry, from);
      },
    ),
    [PEER_METHOD.VM_LIST]: () => configSync.vmList,
    [PEER_METHOD.CLAIM_STATUS]: withValidatedParams(CLAIM_REF_SCHEMA, ref => ({
      state: claimGate.localClaims.stateOf(ref.nonce),
      answer: claimGate.localClaims.responseOf(ref.nonce),
    })),
    [PEER_METHOD.CLAIM_COPY]: withValidatedParams(CLAIM_COPY_SCHEMA, copy =>
      claimGate.copies.keep(copy),
    ),
    [PEER_METHOD.POISON_ANNOUNCE]: withValidatedParams(
      POISON_ANNOUNCE_SCHEMA,
      ({counts, causes}) => {
        dispatcher.crashes.mergeDeathCounts(counts);
        dispatcher.adoptCrashCauses(causes);
      },
    ),
    [PEER_METHOD.STATUS_CELLS]: () => dispatcher.cellStatuses(),
    [PEER_METHOD.TRACE]: withValidatedParams(REQUEST_REF_SCHEMA, ref => [
      ...traces.find(ref.requestId),
    ]),
  };
}
