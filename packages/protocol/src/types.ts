import type {ValueOf} from '@fescuespool/common';
import type {CLAIM_STATE, PEER_METHOD} from './constants.js';

/** Name of a JSON-RPC method between daemons. */
export type PeerMethod = ValueOf<typeof PEER_METHOD>;
/** State of a claim as its holder reports it. */
export type ClaimState = ValueOf<typeof CLAIM_STATE>;
