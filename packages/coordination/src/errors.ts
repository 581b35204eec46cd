/** A call to a peer that failed or was not answered. */
export class PeerError extends Error {
  constructor(
    readonly peerId: string,
    message: string,
  ) {
    super(`peer ${peerId}: ${message}`);
    this.name = 'PeerError';
  }
}
