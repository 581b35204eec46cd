import type {GatewaySettings} from './settings.js';
import type {GatewayMember} from './types.js';

/** The entry of the gateway with these settings, with what this release can do. */
export function createLocalMember(settings: GatewaySettings): GatewayMember {
  return {
    id: settings.memberId,
    zone: settings.zone,
    address: settings.peerAddress,
    isLeaving: false,
    tunnelAddress: settings.tunnelAddress ?? null,
    goesByOriginRecord: true,
    hasChunkedTunnels: true,
  };
}
